/** Accounts that are told of each kind: the largest, and the worst served. */
const MOST_TOLD = 20;

/** How a request of an account ended. */
export type AccountOutcome = 'served' | 'failed' | 'overLimit';

/** Requests of one client account, by how they ended. */
export interface AccountRow {
  readonly account: string;
  readonly served: number;
  /** Refused or failed for another reason than the account's limit. */
  readonly failed: number;
  readonly overLimit: number;
}

/** Counts of requests by client account. */
export class AccountMetrics {
  readonly #rows = new Map<string, Record<AccountOutcome, number>>();

  record(account: string, outcome: AccountOutcome): void {
    const row = this.#rows.get(account) ?? { served: 0, failed: 0, overLimit: 0 };
    row[outcome]++;
    this.#rows.set(account, row);
  }

  /**
   * The largest accounts and those of which the smallest part of what lay within their limits was served, the
   * largest first: bounded, however many accounts there are.
   */
  get rows(): AccountRow[] {
    const all = [...this.#rows].map(([account, counts]) => ({ account, ...counts }));
    const largest = [...all].sort((a, b) => owed(b) - owed(a)).slice(0, MOST_TOLD);
    const worst = [...all].sort((a, b) => servedShare(a) - servedShare(b)).slice(0, MOST_TOLD);
    return [...new Set([...largest, ...worst])].sort((a, b) => owed(b) - owed(a));
  }
}

function owed({ served, failed }: AccountRow): number {
  return served + failed;
}

function servedShare(row: AccountRow): number {
  return owed(row) === 0 ? 1 : row.served / owed(row);
}
