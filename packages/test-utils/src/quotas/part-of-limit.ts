import { LimitPart } from '@ferrylock/routing';
import type { LimitSight } from '@ferrylock/routing';
import type { MakeQuotaWay, QuotaSight } from './quota-way.js';

/** The product's way with limits that targets name: parts by what was told long enough ago, and no more than is missing. */
export const partOfLimit: MakeQuotaWay = ({ account, clock, random }) => {
  const part = new LimitPart(clock, random, account.requestsPerSecond);
  const sightOf = ({ others, heardShare, hosts, place }: QuotaSight): LimitSight => ({
    others,
    heardShare,
    hosts,
    place: () => place,
  });
  return {
    setAccount: ({ requestsPerSecond }) => {
      part.perSecond = requestsPerSecond;
    },
    take: (sight) => part.take(sightOf(sight)),
    tell: (sight) => part.tell(sightOf(sight)),
  };
};
