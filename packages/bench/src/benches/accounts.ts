import { AccountLimitController } from '@ferrylock/entry';
import { AccountTable } from '@ferrylock/routing';
import { makeAccount, makeRoute } from '@ferrylock/test-utils';
import { SystemClock, systemRandom } from '@ferrylock/utils';
import { measureHostProcess } from '../fleet/measure-host-process.js';
import { processorMilliseconds } from '../processor-milliseconds.js';
import type { Bench } from '../report.js';
import { atMost, rounded } from '../report.js';

const ACCOUNTS = 80;
const KEYS_PER_ACCOUNT = 60;
const ROUTES = 1_411;
const REQUESTS = 200_000;
const TABLES = 20;
/** Other sources of a relay's knowledge: the hosts of its failure domain and the other domains. */
const SOURCES = 18;
const MOST_OF_A_REQUEST = 0.03;

const accounts = Array.from({ length: ACCOUNTS }, (_, index) =>
  makeAccount({
    name: `account-${index}`,
    keys: Array.from({ length: KEYS_PER_ACCOUNT }, (_key, key) => `key-${index}-${key}`),
    requestsPerSecond: 1_000_000,
    priority: index % 2,
    homeRegions: index % 20 === 0 ? ['region-0'] : [],
  }),
);
const routes = Array.from({ length: ROUTES }, (_, index) => makeRoute({ name: `route-${index}` }));

function makeDuty(): AccountLimitController {
  const duty = new AccountLimitController({
    clock: new SystemClock(),
    random: systemRandom(),
    bound: { windowMilliseconds: 5_000, overage: 0.1, slack: 20 },
    ownName: 'host-0',
    isFirstStart: true,
    hosts: () => [],
    isAlive: () => true,
    onSurge: () => undefined,
  });
  duty.quotas.setAccounts(accounts);
  const told = Object.fromEntries(accounts.map(({ name }) => [name, 10]));
  for (let source = 0; source < SOURCES; source++) {
    duty.mergeReport(`domain ${source}`, { used: told, demand: told }, 5_000);
  }
  return duty;
}

/** What knowing a request's account and keeping its limit costs, beside a request of a process of its own. */
export const accountsBench: Bench = async ({ progress }) => {
  progress('table of keys …');
  const tableMilliseconds =
    processorMilliseconds(() => {
      for (let count = 0; count < TABLES; count++) {
        new AccountTable(accounts, routes.length);
      }
    }) / TABLES;
  progress('accounts of requests …');
  const table = new AccountTable(accounts, routes.length);
  const duty = makeDuty();
  const accountMilliseconds =
    processorMilliseconds(() => {
      for (let index = 0; index < REQUESTS; index++) {
        const route = routes[index % ROUTES] ?? makeRoute();
        const key = `key-${index % ACCOUNTS}-${index % KEYS_PER_ACCOUNT}`;
        const { account } = table.admit(route, key).unwrap();
        if (account !== undefined && duty.acquire(account) === undefined) {
          duty.settle(account, 1);
        }
      }
    }) / REQUESTS;
  progress('whole requests …');
  const { requestMilliseconds } = await measureHostProcess('pooled');
  const ofRequest = accountMilliseconds / requestMilliseconds;
  return {
    setup: { accounts: ACCOUNTS, keys: ACCOUNTS * KEYS_PER_ACCOUNT, routes: ROUTES },
    rows: [
      { what: 'table of keys, ms', value: rounded(tableMilliseconds) },
      { what: 'account and limit of a request, µs', value: rounded(1_000 * accountMilliseconds) },
      { what: 'the same of a whole request', value: rounded(ofRequest) },
    ],
    targets: [atMost('account and limit', MOST_OF_A_REQUEST, ofRequest, 'of a request')],
  };
};
