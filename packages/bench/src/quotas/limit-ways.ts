import { ColdStartLimiter } from '@ferrylock/routing';
import type { MakeQuotaWay } from '@ferrylock/test-utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** What a way that tells nothing tells. */
const NOTHING = { used: 0, demandPerSecond: 0 };

/** A limit is not read. */
export const notRead: MakeQuotaWay = () => ({
  setAccount: () => undefined,
  take: () => true,
  tell: () => NOTHING,
});

/** A host keeps a pace of so many requests a second, and saves one up at most. */
function pacedWay(pace: (perSecond: number, hosts: number, place: number) => number): MakeQuotaWay {
  return ({ account, clock, random }) => {
    let { requestsPerSecond } = account;
    let saved = random.next();
    let reckonedAt = clock.now();
    return {
      setAccount: (changed) => {
        ({ requestsPerSecond } = changed);
      },
      take: ({ hosts, place }) => {
        const seconds = (clock.now() - reckonedAt) / MILLISECONDS_PER_SECOND;
        saved = Math.min(1, saved + seconds * pace(requestsPerSecond, hosts, place));
        reckonedAt = clock.now();
        const mayRun = saved >= 1;
        saved -= mayRun ? 1 : 0;
        return mayRun;
      },
      tell: () => NOTHING,
    };
  };
}

/** Each host by itself keeps the whole limit. */
export const eachAlone = pacedWay((perSecond) => perSecond);

/** Equal parts for all hosts, without a message. */
export const equalByMembership = pacedWay((perSecond, hosts) => perSecond / hosts);

/** The way of cold targets: few hosts send, the same ones by everybody's reckoning, each an equal part. */
export const fewHosts: MakeQuotaWay = ({ account, clock }) => {
  const gate = new ColdStartLimiter(clock);
  const names = new Map<number, readonly string[]>();
  let { requestsPerSecond } = account;
  return {
    setAccount: (changed) => {
      ({ requestsPerSecond } = changed);
    },
    take: ({ hosts, place }) => {
      const known =
        names.get(hosts) ?? Array.from({ length: hosts }, (_, index) => `host-${index}`);
      names.set(hosts, known);
      return gate.tryAcquire({
        target: 'target',
        requestsPerSecond,
        ownName: `host-${place}`,
        hosts: known,
      });
    },
    tell: () => NOTHING,
  };
};
