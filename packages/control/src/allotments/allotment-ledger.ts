import type { Clock } from '@ferrylock/utils';

/** Added by the lender to each loan's time, for clocks that do not run quite alike. */
const DRIFT_SHARE = 0.01;
const DRIFT_MILLISECONDS = 20;

/** Units lent to a peer, out of use here until they come back or the time is over. */
interface LentUnits {
  readonly loanId: string;
  readonly borrower: string;
  readonly limit: string;
  units: number;
  until: number;
  /** Sequence number of the borrower's latest word on it. */
  sequence: number;
}

/** Units borrowed from a peer, of use here until the time is over. */
export interface BorrowedUnits {
  readonly loanId: string;
  readonly lenderAddress: string;
  readonly limit: string;
  units: number;
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
  /** Rises with each message about the loan, so that one that comes late or twice changes nothing. */
  readonly sequence: number;
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
  /** Fewest usable units since the limit's user last looked; only of limits with such a user. */
  readonly #lowest = new Map<string, number>();
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

  /**
   * The fewest units that were usable at any time since the last call for the limit, so that its
   * user notices even a short dip.
   */
  takeLowest(limit: string): number {
    const usable = this.usable(limit);
    const lowest = Math.min(usable, this.#lowest.get(limit) ?? usable);
    this.#lowest.set(limit, usable);
    return lowest;
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
   * is prolonged, and grows or shrinks to the units asked for now. Where the lender needs some back,
   * `spare` is negative and the answer is lower than the loan; the units count as lent until the
   * borrower itself asks for fewer, since it may not have heard the answer.
   */
  lend(request: LoanRequest, spare: number): number {
    const known = this.#lent.get(lentKey(request));
    if (known !== undefined && known.until > this.clock.now()) {
      return request.sequence > known.sequence ? this.#lendAgain(known, request, spare) : 0;
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
    this.#noteDecrease(loan.limit);
    return units;
  }

  #lendAgain(known: LentUnits, request: LoanRequest, spare: number): number {
    known.sequence = request.sequence;
    const room = Math.floor(Math.min(Math.max(0, spare), this.lendable(request.limit)));
    known.units = Math.min(request.units, known.units + room);
    const granted = spare < 0 ? Math.max(0, known.units + Math.floor(spare)) : known.units;
    if (granted > 0) {
      this.prolongLent(request);
    }
    this.#noteDecrease(request.limit);
    return granted;
  }

  /** Gives a loan more time; says whether it was still out. */
  prolongLent(request: Pick<LoanRequest, 'loanId' | 'borrower' | 'durationMilliseconds'>): boolean {
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

  /** Records a loan from a peer, or what it has grown to. */
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

  /** Records a loan from a peer. */
  recordBorrowed(loan: BorrowedUnits): void {
    if (this.#borrowed.has(loan.loanId)) {
      return;
    }
    this.#borrowed.set(loan.loanId, loan);
    setOf(this.#borrowedByLimit, loan.limit).add(loan);
  }

  /** Gives up part of a loan; the lender is told only after this. */
  shrinkBorrowed(loanId: string, units: number): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined && units < loan.units) {
      loan.units = units;
      this.#noteDecrease(loan.limit);
    }
  }

  /** Counts a loan's time anew after its lender has prolonged it; one that was over stays so. */
  prolongBorrowed(loanId: string, until: number): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined && loan.until > this.clock.now()) {
      loan.until = Math.max(loan.until, until);
    }
  }

  /** Stops using a loan; the lender is told only after this. */
  forgetBorrowed(loanId: string): void {
    const loan = this.#borrowed.get(loanId);
    if (loan !== undefined) {
      this.#borrowed.delete(loanId);
      this.#borrowedByLimit.get(loan.limit)?.delete(loan);
      this.#noteDecrease(loan.limit);
    }
  }

  #noteDecrease(limit: string): void {
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
