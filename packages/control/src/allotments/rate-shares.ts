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

/** Units that a rate limit is divided into; a unit is this part of its cap. */
export const RATE_UNITS = 1_000_000;
/** How long a loan of rate lasts. Long enough to be cheap, short enough to come back soon. */
export const RATE_LOAN_MILLISECONDS = 2_000;
const ROUND_MILLISECONDS = 100;
/** Peers asked for one limit in one round. */
const ASKS_PER_ROUND = 3;
/** Room borrowed above the present demand, as a share of it, so that small swings need no message. */
const HEADROOM = 0.01;
/** Room kept above what would be borrowed, so that the part does not swing. */
const KEPT_ABOVE = 0.02;
/** A peer that had nothing to spare is not asked again for this long. */
const EMPTY_MILLISECONDS = 800;
/** Loans smaller than this share of a limit are not worth a message. */
const SMALLEST_LOAN_UNITS = RATE_UNITS / 1_000;

interface ActiveLimit {
  readonly meter: DemandMeter;
  /** The cap that the units are parts of, per second, as last seen by its user. */
  capPerSecond: number;
  /** Peers that had nothing to spare, and until when they are passed over. */
  readonly emptyUntil: Map<string, number>;
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

/** Moves parts of rate limits to where the demand is, by short loans between peers. */
export class RateShares {
  readonly #options: RateSharesOptions;
  readonly #tasks: BackgroundTasks;
  readonly #active = new Map<string, ActiveLimit>();
  /** Whether the rounds are under way; they rest while no limit is in use. */
  #running = false;
  #loanCount = 0;
  #sequence = 1;

  constructor(options: RateSharesOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.logger);
  }

  register(router: PeerRouter): void {
    router.handle('allotments.borrow', (request) => this.#answerBorrow(request));
    router.handle('allotments.return', (loan) => {
      this.#options.ledger.takeBack(loan);
      return {};
    });
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** The rate that may be used here now, of a limit with the given cap. */
  usablePerSecond(limit: string, capPerSecond: number): number {
    return (this.#options.ledger.usable(limit) / RATE_UNITS) * capPerSecond;
  }

  /** The lowest rate that could be used at any time since the last call. */
  lowestPerSecond(limit: string, capPerSecond: number): number {
    return (this.#options.ledger.takeLowest(limit) / RATE_UNITS) * capPerSecond;
  }

  /** The burst is divided evenly between the positions that share the limit. */
  burstShare(limit: string): number {
    return 1 / Math.max(1, this.#options.register.sharers(limit));
  }

  /** Counts what is asked for, granted or not. */
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
      emptyUntil: new Map(),
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
    const wanted = Math.min(RATE_UNITS, this.#demandUnits(active) * (1 + HEADROOM));
    const now = clock.now();
    const expiring = ledger
      .borrowedLoans(limit)
      .filter((loan) => loan.until - now < RATE_LOAN_MILLISECONDS / 2);
    const lasting = ledger.usable(limit) - sumUnits(expiring);
    let worthKeeping = wanted * (1 + KEPT_ABOVE) - lasting;
    for (const loan of expiring) {
      if (worthKeeping <= 0) {
        break;
      }
      ledger.shrinkBorrowed(loan.loanId, Math.ceil(worthKeeping));
      worthKeeping -= loan.units;
      await this.#prolong(loan);
    }
    const missing = wanted - ledger.usable(limit);
    if (missing >= SMALLEST_LOAN_UNITS) {
      await this.#borrow(limit, active, Math.ceil(missing));
    }
  }

  /** Units that the present demand takes. */
  #demandUnits(active: ActiveLimit): number {
    if (active.capPerSecond <= 0) {
      return 0;
    }
    const share = active.meter.perSecond / active.capPerSecond;
    return Math.min(RATE_UNITS, Math.ceil(share * RATE_UNITS));
  }

  async #borrow(limit: string, active: ActiveLimit, wanted: number): Promise<void> {
    let missing = wanted;
    for (const peer of this.#lenders(active).slice(0, ASKS_PER_ROUND)) {
      const units = await this.#borrowFrom(peer, limit, missing, active);
      missing -= units;
      if (missing < SMALLEST_LOAN_UNITS) {
        return;
      }
    }
  }

  /** Peers worth asking: those in this region first, at random among equals. */
  #lenders(active: ActiveLimit): { key: string; address: string }[] {
    const { membership, random, clock } = this.#options;
    const now = clock.now();
    const candidates = membership
      .knownPeers()
      .filter((member) => (active.emptyUntil.get(memberKey(member)) ?? -Infinity) <= now);
    const rank = (region: string): number => (region === membership.self.region ? 0 : 1);
    return shuffled(random, candidates)
      .sort((a, b) => rank(a.region) - rank(b.region))
      .map((member) => ({ key: memberKey(member), address: member.controlAddress }));
  }

  /** Borrows from a peer, on top of what it has lent already; returns the units gained. */
  async #borrowFrom(
    peer: { key: string; address: string },
    limit: string,
    units: number,
    active: ActiveLimit,
  ): Promise<number> {
    const { ledger, clock } = this.#options;
    // One loan for each lender: many small ones would each have to be prolonged.
    const known = ledger
      .borrowedLoans(limit)
      .find((loan) => loan.lenderAddress === peer.address && loan.until > clock.now());
    const before = known?.units ?? 0;
    const loanId = known?.loanId ?? `r${this.#loanCount++}`;
    const askedAt = clock.now();
    const lent = await this.#askLender(peer.address, { loanId, limit, units: before + units });
    if (lent <= before) {
      active.emptyUntil.set(peer.key, clock.now() + EMPTY_MILLISECONDS);
      return 0;
    }
    ledger.growBorrowed({
      loanId,
      lenderAddress: peer.address,
      limit,
      units: lent,
      until: askedAt + RATE_LOAN_MILLISECONDS,
    });
    return lent - before;
  }

  async #prolong(loan: BorrowedUnits): Promise<void> {
    const { ledger, clock } = this.#options;
    const askedAt = clock.now();
    const lent = await this.#askLender(loan.lenderAddress, loan);
    if (lent > 0) {
      ledger.shrinkBorrowed(loan.loanId, lent);
      ledger.prolongBorrowed(loan.loanId, askedAt + RATE_LOAN_MILLISECONDS);
    }
  }

  /** Units of the loan that the lender now grants; 0 where it does not, or does not answer. */
  async #askLender(
    address: string,
    loan: Pick<BorrowedUnits, 'loanId' | 'limit' | 'units'>,
  ): Promise<number> {
    const { peers, membership } = this.#options;
    const answer = await peers.call(address, 'allotments.borrow', {
      loanId: loan.loanId,
      borrower: memberKey(membership.self),
      limit: loan.limit,
      units: loan.units,
      durationMilliseconds: RATE_LOAN_MILLISECONDS,
      sequence: this.#sequence++,
    });
    return answer.isOk() ? answer.value.units : 0;
  }

  async #returnAll(limit: string): Promise<void> {
    const { ledger, peers, membership } = this.#options;
    const borrower = memberKey(membership.self);
    for (const loan of ledger.borrowedLoans(limit)) {
      ledger.forgetBorrowed(loan.loanId);
      await peers.call(loan.lenderAddress, 'allotments.return', { loanId: loan.loanId, borrower });
    }
  }

  /** Lends what its own demand does not take. */
  #answerBorrow(request: PeerParams<'allotments.borrow'>): PeerResult<'allotments.borrow'> {
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
