import { LimitShare } from '@ferrylock/routing';
import type { LimitView } from '@ferrylock/routing';
import type { MakeQuotaWay, QuotaSight } from './quota-way.js';

/** The product's way with limits that targets name: parts by what was told long enough ago, and no more than is missing. */
export const partOfLimit: MakeQuotaWay = ({ account, clock, random }) => {
  const part = new LimitShare(clock, random, account.requestsPerSecond);
  const sightOf = ({ others, heardShare, hosts, place }: QuotaSight): LimitView => ({
    usageElsewhere: others,
    visibleHostShare: heardShare,
    hosts,
    place: () => place,
  });
  return {
    setAccount: ({ requestsPerSecond }) => {
      part.perSecond = requestsPerSecond;
    },
    take: (sight) => part.tryAcquire(sightOf(sight)),
    tell: (sight) => part.report(sightOf(sight)),
  };
};
