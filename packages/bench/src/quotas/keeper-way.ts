import { SlidingWindowCounter } from '@ferrylock/routing';
import type { MakeQuotaWay } from '@ferrylock/test-utils';

/**
 * One host keeps an account's limit and the others ask it before each request. Emulated without the time that
 * asking takes. A host that is cut off finds no keeper and keeps the limit by itself, as does the one that
 * follows a keeper that died: it has forgotten.
 */
export function makeKeeperWay(): MakeQuotaWay {
  let kept: SlidingWindowCounter | undefined;
  return ({ account, bound, clock }) => {
    const { windowMilliseconds } = bound;
    const own = new SlidingWindowCounter(clock, windowMilliseconds);
    kept = clock.now() === 0 ? (kept ?? own) : own;
    const keeper = kept;
    let { requestsPerSecond, burst } = account;
    return {
      setAccount: (changed) => {
        ({ requestsPerSecond, burst } = changed);
      },
      take: ({ fleet }) => {
        const isCutOff = fleet.peerReportAgeMilliseconds > windowMilliseconds;
        const used = isCutOff ? own : keeper;
        const mayRun = used.total + 1 <= (requestsPerSecond * windowMilliseconds) / 1_000 + burst;
        used.add(mayRun ? 1 : 0);
        return mayRun;
      },
      tell: () => ({ used: 0, demandPerSecond: 0 }),
    };
  };
}
