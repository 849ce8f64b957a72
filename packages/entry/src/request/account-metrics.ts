/** Number of accounts reported in each group: the largest and the worst served. */
const MAX_REPORTED = 20;

/** Outcome of a request of a client account. */
export type AccountOutcome = 'served' | 'failed' | 'overLimit';

/** Requests of one client account by outcome. */
export interface AccountRow {
  readonly account: string;
  readonly served: number;
  /** Failed, or refused for another reason than the account's limit. */
  readonly failed: number;
  readonly overLimit: number;
}

/** Counts requests by client account and outcome. */
export class AccountMetrics {
  readonly #rows = new Map<string, Record<AccountOutcome, number>>();

  record(account: string, outcome: AccountOutcome): void {
    const row = this.#rows.get(account) ?? { served: 0, failed: 0, overLimit: 0 };
    row[outcome]++;
    this.#rows.set(account, row);
  }

  /**
   * The largest accounts and those with the smallest share of in-limit requests served, largest
   * first. The number of rows is bounded.
   */
  get rows(): AccountRow[] {
    const all = [...this.#rows].map(([account, counts]) => ({ account, ...counts }));
    const largest = [...all].sort((a, b) => withinLimit(b) - withinLimit(a)).slice(0, MAX_REPORTED);
    const worst = [...all].sort((a, b) => servedShare(a) - servedShare(b)).slice(0, MAX_REPORTED);
    return [...new Set([...largest, ...worst])].sort((a, b) => withinLimit(b) - withinLimit(a));
  }
}

function withinLimit({ served, failed }: AccountRow): number {
  return served + failed;
}

function servedShare(row: AccountRow): number {
  return withinLimit(row) === 0 ? 1 : row.served / withinLimit(row);
}
