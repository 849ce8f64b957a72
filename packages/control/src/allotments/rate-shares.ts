import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, shuffled } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { AllotmentLedger, BorrowedUnits } from './allotment-ledger.js';
import type { LimitRegister } from './limit-register.js';
import { DemandMeter } from './demand-meter.js';

/** Number of units that a rate limit is divided into. */
export const RATE_UNITS = 1_000_000;
/** Duration of a rate loan. */
export const RATE_LOAN_MILLISECONDS = 2_000;
const ROUND_MILLISECONDS = 100;
/** Maximum number of peers to borrow from per limit and round. */
const MAXIMUM_LENDERS_PER_ROUND = 3;
/** Fraction borrowed above the demand, so that small fluctuations need no message. */
const BORROW_HEADROOM = 0.01;
/** Fraction retained above the borrowing target, as hysteresis. */
const RETAIN_HEADROOM = 0.02;
/** Back-off for a peer without spare units. */
const LENDER_BACKOFF_MILLISECONDS = 800;
/** Minimum size of a loan. */
const MINIMUM_LOAN_UNITS = RATE_UNITS / 1_000;

interface ActiveLimit {
  readonly meter: DemandMeter;
  /** Cap per second that corresponds to all units, as last reported by the caller. */
  capPerSecond: number;
  /** End of the back-off of peers without spare units, by member key. */
  readonly backoffUntil: Map<string, number>;
}

export interface RateSharesOptions {
  readonly ledger: AllotmentLedger;
  readonly register: LimitRegister;
  readonly membership: Membership;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Moves shares of rate limits to the demand by short loans between peers. */
export class RateShares {
  readonly #options: RateSharesOptions;
  readonly #tasks: BackgroundTasks;
  readonly #active = new Map<string, ActiveLimit>();
  /** True while rounds run; they stop while no limit is in use. */
  #running = false;
  #loanCount = 0;
  #sequence = 1;

  constructor(options: RateSharesOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
  }

  register(router: PeerRouter): void {
    router.handle('allotments.borrow', (request) => this.#handleBorrow(request));
    router.handle('allotments.return', (loan) => {
      this.#options.ledger.takeBack(loan);
      return {};
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Currently usable rate of a limit with the given cap. */
  usablePerSecond(limit: string, capPerSecond: number): number {
    return (this.#options.ledger.usable(limit) / RATE_UNITS) * capPerSecond;
  }

  /** Minimum of the usable rate since the last call. */
  lowestPerSecond(limit: string, capPerSecond: number): number {
    return (this.#options.ledger.takeLowest(limit) / RATE_UNITS) * capPerSecond;
  }

  /** Fraction of the burst per position, divided evenly among those that share the limit. */
  burstShare(limit: string): number {
    return 1 / Math.max(1, this.#options.register.sharers(limit));
  }

  /** Records demand, granted or not. */
  recordDemand(limit: string, capPerSecond: number, amount: number): void {
    const active = this.#activate(limit);
    active.capPerSecond = capPerSecond;
    active.meter.add(amount);
  }

  #activate(limit: string): ActiveLimit {
    const known = this.#active.get(limit);
    if (known !== undefined) {
      return known;
    }
    const created: ActiveLimit = {
      meter: new DemandMeter(this.#options.clock),
      capPerSecond: 0,
      backoffUntil: new Map(),
    };
    this.#active.set(limit, created);
    if (!this.#running && !this.#tasks.stopped) {
      this.#running = true;
      this.#tasks.start('rate shares', (signal) => this.#run(signal));
    }
    return created;
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted && this.#active.size > 0) {
      await Promise.all([...this.#active].map(([limit, active]) => this.#round(limit, active)));
      await clock.sleep(jittered(random, ROUND_MILLISECONDS), signal);
    }
    this.#running = false;
  }

  async #round(limit: string, active: ActiveLimit): Promise<void> {
    const { ledger, clock } = this.#options;
    if (active.meter.isIdle) {
      this.#active.delete(limit);
      await this.#returnAll(limit);
      return;
    }
    const wanted = Math.min(RATE_UNITS, this.#demandUnits(active) * (1 + BORROW_HEADROOM));
    const now = clock.now();
    const expiring = ledger
      .borrowedLoans(limit)
      .filter((loan) => loan.until - now < RATE_LOAN_MILLISECONDS / 2);
    const remaining = ledger.usable(limit) - sumUnits(expiring);
    let retainUnits = wanted * (1 + RETAIN_HEADROOM) - remaining;
    for (const loan of expiring) {
      if (retainUnits <= 0) {
        break;
      }
      ledger.shrinkBorrowed(loan.loanId, Math.ceil(retainUnits));
      retainUnits -= loan.units;
      await this.#prolong(loan);
    }
    const missing = wanted - ledger.usable(limit);
    if (missing >= MINIMUM_LOAN_UNITS) {
      await this.#borrow(limit, active, Math.ceil(missing));
    }
  }

  /** Units that cover the current demand. */
  #demandUnits(active: ActiveLimit): number {
    if (active.capPerSecond <= 0) {
      return 0;
    }
    const share = active.meter.perSecond / active.capPerSecond;
    return Math.min(RATE_UNITS, Math.ceil(share * RATE_UNITS));
  }

  async #borrow(limit: string, active: ActiveLimit, wanted: number): Promise<void> {
    let missing = wanted;
    for (const peer of this.#lenders(active).slice(0, MAXIMUM_LENDERS_PER_ROUND)) {
      const units = await this.#borrowFrom(peer, limit, missing, active);
      missing -= units;
      if (missing < MINIMUM_LOAN_UNITS) {
        return;
      }
    }
  }

  /** Peers that are not in back-off, own region first, otherwise in random order. */
  #lenders(active: ActiveLimit): { key: string; address: string }[] {
    const { membership, random, clock } = this.#options;
    const now = clock.now();
    const candidates = membership
      .knownPeers()
      .filter((member) => (active.backoffUntil.get(memberKey(member)) ?? -Infinity) <= now);
    const rank = (region: string): number => (region === membership.self.region ? 0 : 1);
    return shuffled(random, candidates)
      .sort((a, b) => rank(a.region) - rank(b.region))
      .map((member) => ({ key: memberKey(member), address: member.controlAddress }));
  }

  /** Borrows additional units from a peer; returns the units gained. */
  async #borrowFrom(
    peer: { key: string; address: string },
    limit: string,
    units: number,
    active: ActiveLimit,
  ): Promise<number> {
    const { ledger, clock } = this.#options;
    // Keeps one loan per lender, since each loan has to be extended separately.
    const known = ledger
      .borrowedLoans(limit)
      .find((loan) => loan.lenderAddress === peer.address && loan.until > clock.now());
    const before = known?.units ?? 0;
    const loanId = known?.loanId ?? `r${this.#loanCount++}`;
    const requestedAt = clock.now();
    const lent = await this.#requestLoan(peer.address, { loanId, limit, units: before + units });
    if (lent <= before) {
      active.backoffUntil.set(peer.key, clock.now() + LENDER_BACKOFF_MILLISECONDS);
      return 0;
    }
    ledger.growBorrowed({
      loanId,
      lenderAddress: peer.address,
      limit,
      units: lent,
      until: requestedAt + RATE_LOAN_MILLISECONDS,
    });
    return lent - before;
  }

  async #prolong(loan: BorrowedUnits): Promise<void> {
    const { ledger, clock } = this.#options;
    const requestedAt = clock.now();
    const lent = await this.#requestLoan(loan.lenderAddress, loan);
    if (lent > 0) {
      ledger.shrinkBorrowed(loan.loanId, lent);
      ledger.prolongBorrowed(loan.loanId, requestedAt + RATE_LOAN_MILLISECONDS);
    }
  }

  /** Requests or extends a loan; returns the granted units, 0 if there is no response. */
  async #requestLoan(
    address: string,
    loan: Pick<BorrowedUnits, 'loanId' | 'limit' | 'units'>,
  ): Promise<number> {
    const { peers, membership } = this.#options;
    const response = await peers.call(address, 'allotments.borrow', {
      loanId: loan.loanId,
      borrower: memberKey(membership.self),
      limit: loan.limit,
      units: loan.units,
      durationMilliseconds: RATE_LOAN_MILLISECONDS,
      sequence: this.#sequence++,
    });
    return response.isOk() ? response.value.units : 0;
  }

  async #returnAll(limit: string): Promise<void> {
    const { ledger, peers, membership } = this.#options;
    const borrower = memberKey(membership.self);
    for (const loan of ledger.borrowedLoans(limit)) {
      ledger.forgetBorrowed(loan.loanId);
      await peers.call(loan.lenderAddress, 'allotments.return', { loanId: loan.loanId, borrower });
    }
  }

  /** Lends units that exceed the own demand. */
  #handleBorrow(request: PeerParams<'allotments.borrow'>): PeerResult<'allotments.borrow'> {
    const { ledger } = this.#options;
    const active = this.#active.get(request.limit);
    const ownDemand = active === undefined ? 0 : this.#demandUnits(active);
    const spare = ledger.lendable(request.limit) - ownDemand;
    const units = ledger.lend(request, spare);
    return { units };
  }
}

function sumUnits(loans: readonly BorrowedUnits[]): number {
  return loans.reduce((sum, loan) => sum + loan.units, 0);
}
