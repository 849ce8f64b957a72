import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, shuffled } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { AllotmentLedger, BorrowedUnits } from './allotment-ledger.js';
import { DemandMeter } from './demand-meter.js';

/** Units that a rate limit is divided into; a unit is this part of its cap. */
export const RATE_UNITS = 1_000_000;
/** How long a loan of rate lasts. Long enough to be cheap, short enough to come back soon. */
export const RATE_LOAN_MILLISECONDS = 2_000;
const ROUND_MILLISECONDS = 100;
/** Peers asked for one limit in one round. */
const ASKS_PER_ROUND = 3;
/** Room kept above the present demand, as a share of it, so that small swings need no message. */
const HEADROOM = 0.1;
/** A peer that had nothing to spare is not asked again for this long. */
const EMPTY_MILLISECONDS = 500;
/** Loans smaller than this share of a limit are not worth a message. */
const SMALLEST_LOAN_UNITS = RATE_UNITS / 2_000;

interface ActiveLimit {
  readonly meter: DemandMeter;
  /** The cap that the units are parts of, per second, as last seen by its user. */
  capPerSecond: number;
  /** Peers that had nothing to spare, and until when they are passed over. */
  readonly emptyUntil: Map<string, number>;
}

export interface RateSharesOptions {
  readonly ledger: AllotmentLedger;
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
    const wanted = this.#wantedUnits(active);
    const now = clock.now();
    const expiring = ledger
      .borrowedLoans(limit)
      .filter((loan) => loan.until - now < RATE_LOAN_MILLISECONDS / 2);
    const lasting = ledger.usable(limit) - sumUnits(expiring);
    let missing = wanted - lasting;
    for (const loan of expiring) {
      if (missing <= 0) {
        break;
      }
      missing -= loan.units;
      await this.#prolong(loan);
    }
    if (missing >= SMALLEST_LOAN_UNITS) {
      await this.#borrow(limit, active, missing);
    }
  }

  /** Units that the present demand takes, with a little room above. */
  #wantedUnits(active: ActiveLimit): number {
    if (active.capPerSecond <= 0) {
      return 0;
    }
    const share = (active.meter.perSecond * (1 + HEADROOM)) / active.capPerSecond;
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

  async #borrowFrom(
    peer: { key: string; address: string },
    limit: string,
    units: number,
    active: ActiveLimit,
  ): Promise<number> {
    const { peers, ledger, clock, membership } = this.#options;
    const loanId = `r${this.#loanCount++}`;
    const askedAt = clock.now();
    const answer = await peers.call(peer.address, 'allotments.borrow', {
      loanId,
      borrower: memberKey(membership.self),
      limit,
      units,
      durationMilliseconds: RATE_LOAN_MILLISECONDS,
    });
    if (answer.isErr() || answer.value.units === 0) {
      active.emptyUntil.set(peer.key, clock.now() + EMPTY_MILLISECONDS);
      return 0;
    }
    ledger.recordBorrowed({
      loanId,
      lenderAddress: peer.address,
      limit,
      units: answer.value.units,
      until: askedAt + RATE_LOAN_MILLISECONDS,
    });
    return answer.value.units;
  }

  async #prolong(loan: BorrowedUnits): Promise<void> {
    const { peers, ledger, clock, membership } = this.#options;
    const askedAt = clock.now();
    const answer = await peers.call(loan.lenderAddress, 'allotments.borrow', {
      loanId: loan.loanId,
      borrower: memberKey(membership.self),
      limit: loan.limit,
      units: loan.units,
      durationMilliseconds: RATE_LOAN_MILLISECONDS,
    });
    if (answer.isOk() && answer.value.units === loan.units) {
      ledger.prolongBorrowed(loan.loanId, askedAt + RATE_LOAN_MILLISECONDS);
    }
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
    const ownDemand = active === undefined ? 0 : this.#wantedUnits(active);
    const spare = ledger.lendable(request.limit) - ownDemand;
    const units = ledger.lend(request, spare);
    return { units, spare: Math.max(0, Math.floor(spare) - units) };
  }
}

function sumUnits(loans: readonly BorrowedUnits[]): number {
  return loans.reduce((sum, loan) => sum + loan.units, 0);
}
