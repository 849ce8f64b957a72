import type { Clock } from '@ferrylock/utils';

/** Margin that the lender adds to the duration of a loan to allow for clock drift. */
const CLOCK_DRIFT_FRACTION = 0.01;
const CLOCK_DRIFT_MILLISECONDS = 20;

/** Units lent to a peer, unavailable here until returned or expired. */
interface LentUnits {
  readonly loanId: string;
  readonly borrower: string;
  readonly limit: string;
  units: number;
  until: number;
  /** Sequence number of the borrower's latest message about the loan. */
  sequence: number;
}

/** Units borrowed from a peer, usable here until they expire. */
export interface BorrowedUnits {
  readonly loanId: string;
  readonly lenderAddress: string;
  readonly limit: string;
  units: number;
  until: number;
}

/** Source of the units of a limit that this daemon owns through its positions. */
export interface OwnedUnits {
  ownedUnits(limit: string): number;
}

export interface LoanRequest {
  readonly loanId: string;
  readonly borrower: string;
  readonly limit: string;
  readonly units: number;
  readonly durationMilliseconds: number;
  /** Increases with each message about the loan, so that late or duplicate ones are ignored. */
  readonly sequence: number;
}

/**
 * Accounts for the usable units of each divided limit: owned, minus lent, plus borrowed. A lender
 * deducts a loan before it responds, and the borrower counts the duration from before its request,
 * so a lost message or a pause can only reduce the usable total.
 */
export class AllotmentLedger {
  readonly #lent = new Map<string, LentUnits>();
  readonly #borrowed = new Map<string, BorrowedUnits>();
  readonly #lentByLimit = new Map<string, Set<LentUnits>>();
  /** Minimum of the usable units since the last {@link takeLowest}, by limit. */
  readonly #lowest = new Map<string, number>();
  readonly #borrowedByLimit = new Map<string, Set<BorrowedUnits>>();

  constructor(
    readonly clock: Clock,
    readonly owned: OwnedUnits,
  ) {}

  /**
   * Units that may be used now.
   *
   * @param until - excludes loans that end before this clock time
   */
  usable(limit: string, until = -Infinity): number {
    return this.lendable(limit) + this.borrowed(limit, until);
  }

  /**
   * Returns the minimum of the usable units since the last call for the limit, so that the caller
   * detects even a short dip.
   */
  takeLowest(limit: string): number {
    const usable = this.usable(limit);
    const lowest = Math.min(usable, this.#lowest.get(limit) ?? usable);
    this.#lowest.set(limit, usable);
    return lowest;
  }

  /** Units owned and not lent; borrowed units are not lent, so loans do not form chains. */
  lendable(limit: string): number {
    return Math.max(0, this.owned.ownedUnits(limit) - this.#sumLent(limit));
  }

  /** Unexpired units borrowed from peers. */
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

  /** True while any loan to a peer is outstanding. */
  get hasLent(): boolean {
    const now = this.clock.now();
    return [...this.#lent.values()].some((loan) => loan.until > now);
  }

  /** Checks that no limit has more units lent than owned. */
  lentFits(): boolean {
    return [...this.#lentByLimit.keys()].every(
      (limit) => this.#sumLent(limit) <= this.owned.ownedUnits(limit),
    );
  }

  borrowedLoans(limit: string): BorrowedUnits[] {
    return [...(this.#borrowedByLimit.get(limit) ?? [])];
  }

  /**
   * Lends at most the spare units and returns their number. A repeated request extends the loan and
   * resizes it to the requested units. If the lender needs units back, `spare` is negative and the
   * result is lower than the loan; the units count as lent until the borrower requests fewer, since
   * it may not have received the response.
   */
  lend(request: LoanRequest, spare: number): number {
    const known = this.#lent.get(lentKey(request));
    if (known !== undefined && known.until > this.clock.now()) {
      return request.sequence > known.sequence ? this.#updateLoan(known, request, spare) : 0;
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
      sequence: request.sequence,
    };
    this.#lent.set(lentKey(request), loan);
    setOf(this.#lentByLimit, loan.limit).add(loan);
    this.#recordDecrease(loan.limit);
    return units;
  }

  #updateLoan(known: LentUnits, request: LoanRequest, spare: number): number {
    known.sequence = request.sequence;
    const capacity = Math.floor(Math.min(Math.max(0, spare), this.lendable(request.limit)));
    known.units = Math.min(request.units, known.units + capacity);
    const granted = spare < 0 ? Math.max(0, known.units + Math.floor(spare)) : known.units;
    if (granted > 0) {
      this.prolongLent(request);
    }
    this.#recordDecrease(request.limit);
    return granted;
  }

  /** Extends a loan; returns false if it is unknown or has expired. */
  prolongLent(request: Pick<LoanRequest, 'loanId' | 'borrower' | 'durationMilliseconds'>): boolean {
    const known = this.#lent.get(lentKey(request));
    if (known === undefined || known.until <= this.clock.now()) {
      return false;
    }
    known.until = Math.max(known.until, this.#lenderUntil(request.durationMilliseconds));
    return true;
  }

  /** Ends a loan that the borrower returned. */
  takeBack(loan: Pick<LoanRequest, 'loanId' | 'borrower'>): LentUnits | undefined {
    const lent = this.#lent.get(lentKey(loan));
    if (lent !== undefined) {
      this.#removeLent(lent);
    }
    return lent;
  }

  /** Records a loan from a peer, or its growth. */
  growBorrowed(loan: BorrowedUnits): void {
    const known = this.#borrowed.get(loan.loanId);
    if (known === undefined || known.until <= this.clock.now()) {
      this.forgetBorrowed(loan.loanId);
      this.recordBorrowed(loan);
      return;
    }
    known.units = Math.max(known.units, loan.units);
    known.until = Math.max(known.until, loan.until);
  }

  recordBorrowed(loan: BorrowedUnits): void {
    if (this.#borrowed.has(loan.loanId)) {
      return;
    }
    this.#borrowed.set(loan.loanId, loan);
    setOf(this.#borrowedByLimit, loan.limit).add(loan);
  }

  /** Reduces a borrowed loan; must precede the message to the lender. */
  shrinkBorrowed(loanId: string, units: number): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined && units < loan.units) {
      loan.units = units;
      this.#recordDecrease(loan.limit);
    }
  }

  /** Extends a borrowed loan after its lender did; an expired one stays expired. */
  prolongBorrowed(loanId: string, until: number): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined && loan.until > this.clock.now()) {
      loan.until = Math.max(loan.until, until);
    }
  }

  /** Removes a borrowed loan; must precede the message to the lender. */
  forgetBorrowed(loanId: string): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined) {
      this.#borrowed.delete(loanId);
      this.#borrowedByLimit.get(loan.limit)?.delete(loan);
      this.#recordDecrease(loan.limit);
    }
  }

  #recordDecrease(limit: string): void {
    const lowest = this.#lowest.get(limit);
    if (lowest !== undefined) {
      this.#lowest.set(limit, Math.min(lowest, this.usable(limit)));
    }
  }

  #sumLent(limit: string): number {
    const now = this.clock.now();
    let sum = 0;
    for (const loan of this.#lentByLimit.get(limit) ?? []) {
      if (loan.until > now) {
        sum += loan.units;
      } else {
        this.#removeLent(loan);
      }
    }
    return sum;
  }

  /** Expiry of a loan at the lender, later than at the borrower by the drift margin. */
  #lenderUntil(durationMilliseconds: number): number {
    const margin = CLOCK_DRIFT_MILLISECONDS + durationMilliseconds * CLOCK_DRIFT_FRACTION;
    return this.clock.now() + durationMilliseconds + margin;
  }

  #removeLent(loan: LentUnits): void {
    this.#lent.delete(lentKey(loan));
    this.#lentByLimit.get(loan.limit)?.delete(loan);
  }
}

/** Key of a loan; loan ids are unique only per borrower. */
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
