import type { Clock } from '@ferrylock/utils';

/** Added by the lender to each loan's time, for clocks that do not run quite alike. */
const DRIFT_SHARE = 0.01;
const DRIFT_MILLISECONDS = 20;

/** Units lent to a peer, out of use here until they come back or the time is over. */
interface LentUnits {
  readonly loanId: string;
  readonly borrower: string;
  readonly limit: string;
  readonly units: number;
  until: number;
}

/** Units borrowed from a peer, of use here until the time is over. */
export interface BorrowedUnits {
  readonly loanId: string;
  readonly lenderAddress: string;
  readonly limit: string;
  readonly units: number;
  until: number;
}

/** What this daemon owns of a limit by the positions that it now holds. */
export interface OwnedUnits {
  ownedUnits(limit: string): number;
}

export interface LoanRequest {
  readonly loanId: string;
  readonly borrower: string;
  readonly limit: string;
  readonly units: number;
  readonly durationMilliseconds: number;
}

/**
 * What one daemon may use of each divided limit: what it owns, less what it has lent, plus what it
 * has borrowed. A lender lowers its own part before the borrower hears of the loan, and the
 * borrower counts the loan's time from before it asked; a lost message or a pause therefore loses
 * room and never makes any.
 */
export class AllotmentLedger {
  readonly #lent = new Map<string, LentUnits>();
  readonly #borrowed = new Map<string, BorrowedUnits>();
  readonly #lentByLimit = new Map<string, Set<LentUnits>>();
  readonly #decreases = new Map<string, number>();
  readonly #borrowedByLimit = new Map<string, Set<BorrowedUnits>>();

  constructor(
    readonly clock: Clock,
    readonly owned: OwnedUnits,
  ) {}

  /**
   * Units that may be used now.
   *
   * @param until - leaves out loans that end before this clock reading
   */
  usable(limit: string, until = -Infinity): number {
    return this.lendable(limit) + this.borrowed(limit, until);
  }

  /** Counts how often units of a limit went out of use, so that a user notices even a short dip. */
  decreases(limit: string): number {
    return this.#decreases.get(limit) ?? 0;
  }

  /** Units owned here and not lent out. Only these are lent on; loans do not form chains. */
  lendable(limit: string): number {
    return Math.max(0, this.owned.ownedUnits(limit) - this.#sumLent(limit));
  }

  /** Units borrowed from peers and not yet over. */
  borrowed(limit: string, until = -Infinity): number {
    const now = this.clock.now();
    let sum = 0;
    for (const loan of this.#borrowedByLimit.get(limit) ?? []) {
      if (loan.until > now) {
        sum += loan.until >= until ? loan.units : 0;
      } else {
        this.forgetBorrowed(loan.loanId);
      }
    }
    return sum;
  }

  /** Whether any loan of this daemon's is still out. */
  get hasLent(): boolean {
    const now = this.clock.now();
    return [...this.#lent.values()].some((loan) => loan.until > now);
  }

  /** Whether no more is lent of any limit than is owned now. */
  lentFits(): boolean {
    return [...this.#lentByLimit.keys()].every(
      (limit) => this.#sumLent(limit) <= this.owned.ownedUnits(limit),
    );
  }

  borrowedLoans(limit: string): BorrowedUnits[] {
    return [...(this.#borrowedByLimit.get(limit) ?? [])];
  }

  /**
   * Lends units, at most those that may be spared, and says how many. The same loan asked for again
   * is prolonged, never doubled, unless the lender now needs the units itself: `spare` is then
   * negative, and the loan runs out.
   */
  lend(request: LoanRequest, spare: number): number {
    const known = this.#lent.get(lentKey(request));
    if (known !== undefined && known.until > this.clock.now()) {
      if (spare < 0) {
        return 0;
      }
      this.prolongLent(request);
      return known.units;
    }
    const units = Math.max(
      0,
      Math.min(request.units, Math.floor(spare), this.lendable(request.limit)),
    );
    if (units === 0) {
      return 0;
    }
    const loan: LentUnits = {
      loanId: request.loanId,
      borrower: request.borrower,
      limit: request.limit,
      units,
      until: this.#lenderUntil(request.durationMilliseconds),
    };
    this.#lent.set(lentKey(request), loan);
    this.#countDecrease(loan.limit);
    setOf(this.#lentByLimit, loan.limit).add(loan);
    return units;
  }

  /** Gives a loan more time; says whether it was still out. */
  prolongLent(request: Omit<LoanRequest, 'units' | 'limit'>): boolean {
    const known = this.#lent.get(lentKey(request));
    if (known === undefined || known.until <= this.clock.now()) {
      return false;
    }
    known.until = Math.max(known.until, this.#lenderUntil(request.durationMilliseconds));
    return true;
  }

  /** Takes back a loan that the borrower no longer uses. */
  takeBack(loan: Pick<LoanRequest, 'loanId' | 'borrower'>): LentUnits | undefined {
    const lent = this.#lent.get(lentKey(loan));
    if (lent !== undefined) {
      this.#forgetLent(lent);
    }
    return lent;
  }

  /** Records a loan from a peer. */
  recordBorrowed(loan: BorrowedUnits): void {
    if (this.#borrowed.has(loan.loanId)) {
      return;
    }
    this.#borrowed.set(loan.loanId, loan);
    setOf(this.#borrowedByLimit, loan.limit).add(loan);
  }

  /** Counts a loan's time anew after its lender has prolonged it. */
  prolongBorrowed(loanId: string, until: number): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined) {
      loan.until = Math.max(loan.until, until);
    }
  }

  /** Stops using a loan; the lender is told only after this. */
  forgetBorrowed(loanId: string): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined) {
      this.#borrowed.delete(loanId);
      this.#borrowedByLimit.get(loan.limit)?.delete(loan);
      this.#countDecrease(loan.limit);
    }
  }

  #countDecrease(limit: string): void {
    this.#decreases.set(limit, this.decreases(limit) + 1);
  }

  #sumLent(limit: string): number {
    const now = this.clock.now();
    let sum = 0;
    for (const loan of this.#lentByLimit.get(limit) ?? []) {
      if (loan.until > now) {
        sum += loan.units;
      } else {
        this.#forgetLent(loan);
      }
    }
    return sum;
  }

  /** The lender waits a little longer than the borrower may use the loan. */
  #lenderUntil(durationMilliseconds: number): number {
    const margin = DRIFT_MILLISECONDS + durationMilliseconds * DRIFT_SHARE;
    return this.clock.now() + durationMilliseconds + margin;
  }

  #forgetLent(loan: LentUnits): void {
    this.#lent.delete(lentKey(loan));
    this.#lentByLimit.get(loan.limit)?.delete(loan);
  }
}

/** Loan ids are drawn by borrowers, so that only both together name a loan. */
function lentKey(loan: Pick<LoanRequest, 'loanId' | 'borrower'>): string {
  return `${loan.borrower} ${loan.loanId}`;
}

function setOf<T>(map: Map<string, Set<T>>, key: string): Set<T> {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  const created = new Set<T>();
  map.set(key, created);
  return created;
}
