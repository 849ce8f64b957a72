import { AccountQuota } from '@ferrylock/routing';
import type { MakeQuotaWay } from './quota-way.js';

/** The product's way: what others have used is heard late, and counts against the limit. */
export const toldUse: MakeQuotaWay = ({ account, bound, clock, random }) => {
  const quota = new AccountQuota(account, clock, random, bound);
  return {
    setAccount: (changed) => {
      quota.account = changed;
    },
    take: ({ others, fleet }) => quota.acquire(others, fleet) === undefined,
    tell: () => ({ used: quota.used, demandPerSecond: quota.demandPerSecond }),
  };
};
