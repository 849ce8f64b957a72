import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, shuffled } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Member } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { AllotmentLedger, BorrowedUnits } from './allotment-ledger.js';

/** Maximum number of concurrent borrow requests per service. */
const MAXIMUM_PARALLEL_REQUESTS = 4;
/** Maximum number of slots per borrow request. */
const SLOTS_PER_REQUEST = 2;
/** Time for which a peer without a free slot holds a borrow request. */
const LENDER_WAIT_MILLISECONDS = 60;
/** Back-off for a peer after a failed request. */
const LENDER_BACKOFF_MILLISECONDS = 500;
/** Time for which a borrowed slot may be reused before its loan has to be extended. */
const REUSE_MILLISECONDS = 1_000;

/** Interface of a service to the loans: its spare slots and its demand. */
export interface SlotBorrower {
  readonly account: string;
  readonly service: string;
  readonly longestDeadlineMilliseconds: number;
  /** Number of requests that wait for a slot. */
  readonly waiting: number;
  /** Checks if requests have waited long enough to borrow from a peer at that location. */
  isWorthAsking(place: Pick<Member, 'failureDomain' | 'region'>): boolean;
  /** Limit key of a target's slots. */
  limitKey(target: string): string;
  /** Own slots neither in use nor lent, by target, in the preferred order of lending. */
  spareSlots(): readonly { readonly target: string; readonly units: number }[];
  /** Number of unused slots of a target, own or borrowed. */
  unusedSlots(target: string): number;
  /** Called when slots were borrowed or returned. */
  slotsArrived(): void;
}

type BorrowRequest = PeerParams<'slots.borrow'>;
type BorrowResult = PeerResult<'slots.borrow'>;

/** Borrow request of a peer that is held until a slot is free. */
interface WaitingPeer {
  readonly request: BorrowRequest;
  readonly respond: (result: BorrowResult) => void;
}

interface ServiceState {
  readonly borrower: SlotBorrower;
  /** Peers with a borrow request in flight. */
  readonly pendingLenders: Set<string>;
  /** End of the back-off of peers after a failed request, by member key. */
  readonly backoffUntil: Map<string, number>;
  readonly waitingPeers: WaitingPeer[];
  readonly prolonging: Set<string>;
}

export interface SlotLoansOptions {
  readonly ledger: AllotmentLedger;
  readonly membership: Pick<Membership, 'self' | 'knownPeers'>;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/**
 * Lends free slots to daemons where requests wait. A borrower keeps a slot while requests wait and
 * the lender extends the loan, and returns it when it is idle.
 */
export class SlotLoans {
  readonly #options: SlotLoansOptions;
  readonly #tasks: BackgroundTasks;
  readonly #services = new Map<string, ServiceState>();
  #loanCount = 0;

  constructor(options: SlotLoansOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options);
  }

  /** Adds or replaces the borrower of a service. */
  add(borrower: SlotBorrower): void {
    const key = serviceKey(borrower.account, borrower.service);
    if (this.#services.get(key)?.borrower !== borrower) {
      this.#services.set(key, {
        borrower,
        pendingLenders: new Set(),
        backoffUntil: new Map(),
        waitingPeers: [],
        prolonging: new Set(),
      });
    }
  }

  remove(account: string, service: string): void {
    this.#services.delete(serviceKey(account, service));
  }

  register(router: PeerRouter): void {
    router.handle('slots.borrow', (request) => this.#handleBorrow(request));
    router.handle('slots.prolong', (request) => this.#handleProlong(request));
    router.handle('slots.return', (request) => this.#handleReturn(request));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Requests slots from peers, with at most one request in flight per waiting request. */
  want(account: string, service: string): void {
    const state = this.#services.get(serviceKey(account, service));
    if (state === undefined || this.#tasks.stopped) {
      return;
    }
    const maxRequests = Math.min(MAXIMUM_PARALLEL_REQUESTS, state.borrower.waiting);
    while (state.pendingLenders.size < maxRequests) {
      const peer = this.#nextLender(state);
      if (peer === undefined) {
        return;
      }
      const key = memberKey(peer);
      state.pendingLenders.add(key);
      this.#tasks.run('borrow slots', async () => {
        await this.#borrowFrom(state, peer);
        state.pendingLenders.delete(key);
        this.want(account, service);
      });
    }
  }

  /**
   * Called when a slot of a target is freed. Returns borrowed slots if no request waits, and else
   * those whose loan is too short for reuse; extends the others. Lends own slots to waiting peers.
   */
  slotFreed(borrower: SlotBorrower, target: string, unused: number): void {
    const state = this.#services.get(serviceKey(borrower.account, borrower.service));
    if (state === undefined) {
      return;
    }
    let returnable = unused;
    const loans = this.#options.ledger.borrowedLoans(borrower.limitKey(target));
    // Returns the loans that expire first, since the rest has to outlast the work in progress.
    loans.sort((a, b) => a.until - b.until);
    for (const loan of loans) {
      if (borrower.waiting > 0 && this.#isReusable(borrower, loan)) {
        this.#prolongIfDue(state, loan);
      } else if (loan.units <= returnable) {
        returnable -= loan.units;
        this.#return(borrower, loan);
      }
    }
    this.#serveWaitingPeers(state);
  }

  #isReusable(borrower: SlotBorrower, loan: BorrowedUnits): boolean {
    return loan.until - this.#options.clock.now() >= borrower.longestDeadlineMilliseconds;
  }

  #prolongIfDue(state: ServiceState, loan: BorrowedUnits): void {
    const { clock, ledger, peers, membership } = this.#options;
    const { longestDeadlineMilliseconds } = state.borrower;
    const reusableFor = loan.until - clock.now() - longestDeadlineMilliseconds;
    if (reusableFor > REUSE_MILLISECONDS / 2 || state.prolonging.has(loan.loanId)) {
      return;
    }
    state.prolonging.add(loan.loanId);
    this.#tasks.run('prolong slot loan', async () => {
      const durationMilliseconds = longestDeadlineMilliseconds + REUSE_MILLISECONDS;
      const requestedAt = clock.now();
      const response = await peers.call(loan.lenderAddress, 'slots.prolong', {
        loanId: loan.loanId,
        borrower: memberKey(membership.self),
        account: state.borrower.account,
        service: state.borrower.service,
        limit: loan.limit,
        durationMilliseconds,
      });
      if (response.isOk() && response.value.prolonged) {
        ledger.prolongBorrowed(loan.loanId, requestedAt + durationMilliseconds);
      }
      state.prolonging.delete(loan.loanId);
    });
  }

  #return(borrower: SlotBorrower, loan: BorrowedUnits): void {
    const { ledger, peers, membership } = this.#options;
    ledger.forgetBorrowed(loan.loanId);
    this.#tasks.run('return slots', () =>
      peers.call(loan.lenderAddress, 'slots.return', {
        loanId: loan.loanId,
        borrower: memberKey(membership.self),
        account: borrower.account,
        service: borrower.service,
      }),
    );
  }

  /** Picks a random peer without a pending request, from the own region if it has any. */
  #nextLender(state: ServiceState): Member | undefined {
    const { membership, random, clock } = this.#options;
    const now = clock.now();
    const candidates = membership.knownPeers().filter((peer) => {
      const key = memberKey(peer);
      return !state.pendingLenders.has(key) && (state.backoffUntil.get(key) ?? -Infinity) <= now;
    });
    const local = candidates.filter((peer) => peer.region === membership.self.region);
    const preferred = local.length > 0 ? local : candidates;
    return shuffled(
      random,
      preferred.filter((peer) => state.borrower.isWorthAsking(peer)),
    )[0];
  }

  async #borrowFrom(state: ServiceState, peer: Member): Promise<void> {
    const { clock, membership, peers, ledger } = this.#options;
    const { borrower } = state;
    const loanId = `s${this.#loanCount++}`;
    const durationMilliseconds = borrower.longestDeadlineMilliseconds + REUSE_MILLISECONDS;
    const requestedAt = clock.now();
    const response = await peers.call(peer.controlAddress, 'slots.borrow', {
      loanId,
      borrower: memberKey(membership.self),
      account: borrower.account,
      service: borrower.service,
      slots: Math.min(SLOTS_PER_REQUEST, Math.max(1, borrower.waiting)),
      durationMilliseconds,
      waitMilliseconds: LENDER_WAIT_MILLISECONDS,
    });
    if (response.isErr()) {
      state.backoffUntil.set(memberKey(peer), clock.now() + LENDER_BACKOFF_MILLISECONDS);
      return;
    }
    for (const loan of response.value.loans) {
      ledger.recordBorrowed({
        loanId: loan.loanId,
        lenderAddress: peer.controlAddress,
        limit: borrower.limitKey(loan.target),
        units: 1,
        until: requestedAt + durationMilliseconds,
      });
    }
    if (response.value.loans.length > 0) {
      borrower.slotsArrived();
      response.value.loans.forEach((loan) => {
        this.#returnSurplus(borrower, loan.target);
      });
    }
  }

  /** Returns borrowed slots that are no longer needed. */
  #returnSurplus(borrower: SlotBorrower, target: string): void {
    if (borrower.waiting > 0) {
      return;
    }
    const { ledger } = this.#options;
    const limit = borrower.limitKey(target);
    for (const loan of ledger.borrowedLoans(limit)) {
      const spare = borrower.spareSlots().find((entry) => entry.target === target)?.units ?? 0;
      if (borrower.unusedSlots(target) - spare >= loan.units) {
        this.#return(borrower, loan);
      }
    }
  }

  /** Lends free slots at once, or holds the request for a short time. */
  async #handleBorrow(request: BorrowRequest): Promise<BorrowResult> {
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state === undefined) {
      return { loans: [] };
    }
    const loans = this.#lend(state, request);
    if (loans.length > 0 || request.waitMilliseconds === 0) {
      return { loans };
    }
    return new Promise((resolve) => {
      const waiting: WaitingPeer = { request, respond: resolve };
      state.waitingPeers.push(waiting);
      this.#options.clock.after(
        Math.min(LENDER_WAIT_MILLISECONDS, request.waitMilliseconds),
        () => {
          const index = state.waitingPeers.indexOf(waiting);
          if (index >= 0) {
            state.waitingPeers.splice(index, 1);
            resolve({ loans: [] });
          }
        },
      );
    });
  }

  #serveWaitingPeers(state: ServiceState): void {
    for (let first = state.waitingPeers[0]; first !== undefined; first = state.waitingPeers[0]) {
      const loans = this.#lend(state, first.request);
      if (loans.length === 0) {
        return;
      }
      state.waitingPeers.shift();
      first.respond({ loans });
    }
  }

  #lend({ borrower }: ServiceState, request: BorrowRequest): BorrowResult['loans'] {
    if (borrower.waiting > 0) {
      return [];
    }
    const free = borrower
      .spareSlots()
      .flatMap(({ target, units }) => Array.from({ length: units }, () => target));
    const loans: BorrowResult['loans'] = [];
    // Creates one loan per slot, since slots are returned individually.
    for (const target of free.slice(0, request.slots)) {
      const loanId = `${request.loanId}/${loans.length}`;
      const limit = borrower.limitKey(target);
      const { durationMilliseconds } = request;
      const units = this.#options.ledger.lend(
        { loanId, borrower: request.borrower, limit, units: 1, durationMilliseconds, sequence: 0 },
        1,
      );
      if (units === 1) {
        loans.push({ loanId, target });
      }
    }
    return loans;
  }

  /** Makes a returned slot available to waiting requests, local or of peers. */
  #handleReturn(request: PeerParams<'slots.return'>): PeerResult<'slots.return'> {
    this.#options.ledger.takeBack(request);
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state !== undefined) {
      state.borrower.slotsArrived();
      this.#serveWaitingPeers(state);
    }
    return {};
  }

  /** Extends a loan unless own requests wait. */
  #handleProlong(request: PeerParams<'slots.prolong'>): PeerResult<'slots.prolong'> {
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state === undefined || state.borrower.waiting > 0) {
      return { prolonged: false };
    }
    return { prolonged: this.#options.ledger.prolongLent(request) };
  }
}

function serviceKey(account: string, service: string): string {
  return `${account}/${service}`;
}
