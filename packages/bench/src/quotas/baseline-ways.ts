import { RequestRate, SlidingWindowCounter } from '@ferrylock/routing';
import type { ClientAccount } from '@ferrylock/routing';
import type { MakeQuotaWay, QuotaSight, QuotaWayOptions } from '@ferrylock/test-utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** Each host keeps to a part of the limit; what decides its part varies. */
function partsWay(partOf: (sight: QuotaSight, askedPerSecond: number) => number): MakeQuotaWay {
  return ({ account, bound, clock }: QuotaWayOptions) => {
    const used = new SlidingWindowCounter(clock, bound.windowMilliseconds);
    const asked = new RequestRate(clock, MILLISECONDS_PER_SECOND);
    let limit = limitOf(account, bound.windowMilliseconds);
    return {
      setAccount: (changed) => {
        limit = limitOf(changed, bound.windowMilliseconds);
      },
      take: (sight) => {
        asked.record();
        const mayRun = used.total + 1 <= partOf(sight, asked.perSecond) * limit;
        used.add(mayRun ? 1 : 0);
        return mayRun;
      },
      tell: () => {
        return { used: used.total, demandPerSecond: asked.perSecond };
      },
    };
  };
}

function limitOf({ requestsPerSecond, burst }: ClientAccount, windowMilliseconds: number): number {
  return (requestsPerSecond * windowMilliseconds) / MILLISECONDS_PER_SECOND + burst;
}

/** Equal parts for the hosts that have callers of the account; needs no message. */
export const equalParts = partsWay(({ askedHosts }) => 1 / askedHosts);

/** Parts by what is asked of each host, as told last. */
export const demandParts = partsWay(({ others }, askedPerSecond) => {
  const asked = others.demandPerSecond + askedPerSecond;
  return asked === 0 ? 1 : askedPerSecond / asked;
});
