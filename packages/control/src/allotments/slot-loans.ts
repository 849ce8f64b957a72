import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, shuffled } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Member } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { AllotmentLedger, BorrowedUnits } from './allotment-ledger.js';

/** Peers asked at the same time for one service. */
const PARALLEL_ASKS = 4;
/** Slots asked for in one message. */
const SLOTS_PER_ASK = 2;
/** How long a peer without a free slot keeps the question, in case one comes free. */
const WAIT_MILLISECONDS = 60;
/** A peer that could not be asked is passed over for this long. */
const FAILED_MILLISECONDS = 500;
/** Time for which a borrowed slot may be given new work before the loan is prolonged. */
const REUSE_MILLISECONDS = 1_000;

/** What the loans need of a service: its own free slots to lend, and its hunger for more. */
export interface SlotBorrower {
  readonly account: string;
  readonly service: string;
  readonly longestDeadlineMilliseconds: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Whether requests have waited long enough for a slot from a peer at that place to help. */
  isWorthAsking(place: Pick<Member, 'failureDomain' | 'region'>): boolean;
  /** The limit key of a target's slots. */
  limitKey(target: string): string;
  /** Own slots that are neither in use nor lent, by target, best to lend first. */
  spareSlots(): readonly { readonly target: string; readonly units: number }[];
  /** Slots of a target that may be used here, own or borrowed, and are not. */
  unusedSlots(target: string): number;
  /** Called when slots have been borrowed. */
  slotsArrived(): void;
}

type BorrowRequest = PeerParams<'slots.borrow'>;
type BorrowAnswer = PeerResult<'slots.borrow'>;

/** A peer's question that waits here for a slot to come free. */
interface WaitingPeer {
  readonly request: BorrowRequest;
  readonly answer: (answer: BorrowAnswer) => void;
}

interface ServiceState {
  readonly borrower: SlotBorrower;
  /** Peers that a question is under way to. */
  readonly asked: Set<string>;
  /** Peers that could not be asked, and until when they are passed over. */
  readonly failedUntil: Map<string, number>;
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
 * Moves free slots to daemons where requests wait. A borrower keeps a slot for as long as requests
 * wait for it there and its lender does not want it back, and returns it as soon as it is idle.
 */
export class SlotLoans {
  readonly #options: SlotLoansOptions;
  readonly #tasks: BackgroundTasks;
  readonly #services = new Map<string, ServiceState>();
  #loanCount = 0;

  constructor(options: SlotLoansOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.logger);
  }

  /** Takes a service's borrower up, or puts it in the place of the one before. */
  add(borrower: SlotBorrower): void {
    const key = serviceKey(borrower.account, borrower.service);
    if (this.#services.get(key)?.borrower !== borrower) {
      this.#services.set(key, {
        borrower,
        asked: new Set(),
        failedUntil: new Map(),
        waitingPeers: [],
        prolonging: new Set(),
      });
    }
  }

  remove(account: string, service: string): void {
    this.#services.delete(serviceKey(account, service));
  }

  register(router: PeerRouter): void {
    router.handle('slots.borrow', (request) => this.#answerBorrow(request));
    router.handle('slots.prolong', (request) => this.#answerProlong(request));
    router.handle('slots.return', (request) => this.#answerReturn(request));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Looks for slots at peers, as many at a time as requests wait. */
  want(account: string, service: string): void {
    const state = this.#services.get(serviceKey(account, service));
    if (state === undefined || this.#tasks.stopped) {
      return;
    }
    const most = Math.min(PARALLEL_ASKS, state.borrower.waiting);
    while (state.asked.size < most) {
      const peer = this.#nextLender(state);
      if (peer === undefined) {
        return;
      }
      const key = memberKey(peer);
      state.asked.add(key);
      this.#tasks.start('borrow slots', async () => {
        await this.#ask(state, peer);
        state.asked.delete(key);
        this.want(account, service);
      });
    }
  }

  /**
   * Called when a slot of a target has come free. Borrowed slots go back when nothing waits here;
   * while something waits, loans are prolonged in time, and those that ran short are given up. Own
   * slots go to peers whose questions wait.
   */
  slotFreed(borrower: SlotBorrower, target: string, unused: number): void {
    const state = this.#services.get(serviceKey(borrower.account, borrower.service));
    if (state === undefined) {
      return;
    }
    let left = unused;
    const loans = this.#options.ledger.borrowedLoans(borrower.limitKey(target));
    // Those that end first go first: what stays has to outlast the work that is under way.
    loans.sort((a, b) => a.until - b.until);
    for (const loan of loans) {
      if (borrower.waiting > 0 && this.#isReusable(borrower, loan)) {
        this.#prolongInTime(state, loan);
      } else if (loan.units <= left) {
        left -= loan.units;
        this.#return(borrower, loan);
      }
    }
    this.#serveWaitingPeers(state);
  }

  #isReusable(borrower: SlotBorrower, loan: BorrowedUnits): boolean {
    return loan.until - this.#options.clock.now() >= borrower.longestDeadlineMilliseconds;
  }

  #prolongInTime(state: ServiceState, loan: BorrowedUnits): void {
    const { clock, ledger, peers, membership } = this.#options;
    const { longestDeadlineMilliseconds } = state.borrower;
    const reusableFor = loan.until - clock.now() - longestDeadlineMilliseconds;
    if (reusableFor > REUSE_MILLISECONDS / 2 || state.prolonging.has(loan.loanId)) {
      return;
    }
    state.prolonging.add(loan.loanId);
    this.#tasks.start('prolong slot loan', async () => {
      const durationMilliseconds = longestDeadlineMilliseconds + REUSE_MILLISECONDS;
      const askedAt = clock.now();
      const answer = await peers.call(loan.lenderAddress, 'slots.prolong', {
        loanId: loan.loanId,
        borrower: memberKey(membership.self),
        account: state.borrower.account,
        service: state.borrower.service,
        limit: loan.limit,
        durationMilliseconds,
      });
      if (answer.isOk() && answer.value.prolonged) {
        ledger.prolongBorrowed(loan.loanId, askedAt + durationMilliseconds);
      }
      state.prolonging.delete(loan.loanId);
    });
  }

  #return(borrower: SlotBorrower, loan: BorrowedUnits): void {
    const { ledger, peers, membership } = this.#options;
    ledger.forgetBorrowed(loan.loanId);
    void peers.call(loan.lenderAddress, 'slots.return', {
      loanId: loan.loanId,
      borrower: memberKey(membership.self),
      account: borrower.account,
      service: borrower.service,
    });
  }

  /** A peer that is not being asked already; near ones first, at random among equals. */
  #nextLender(state: ServiceState): Member | undefined {
    const { membership, random, clock } = this.#options;
    const now = clock.now();
    const candidates = membership.knownPeers().filter((peer) => {
      const key = memberKey(peer);
      return !state.asked.has(key) && (state.failedUntil.get(key) ?? -Infinity) <= now;
    });
    const near = candidates.filter((peer) => peer.region === membership.self.region);
    const worthwhile = near.length > 0 ? near : candidates;
    return shuffled(
      random,
      worthwhile.filter((peer) => state.borrower.isWorthAsking(peer)),
    )[0];
  }

  async #ask(state: ServiceState, peer: Member): Promise<void> {
    const { clock, membership, peers, ledger } = this.#options;
    const { borrower } = state;
    const loanId = `s${this.#loanCount++}`;
    const durationMilliseconds = borrower.longestDeadlineMilliseconds + REUSE_MILLISECONDS;
    const askedAt = clock.now();
    const answer = await peers.call(peer.controlAddress, 'slots.borrow', {
      loanId,
      borrower: memberKey(membership.self),
      account: borrower.account,
      service: borrower.service,
      slots: Math.min(SLOTS_PER_ASK, Math.max(1, borrower.waiting)),
      durationMilliseconds,
      waitMilliseconds: WAIT_MILLISECONDS,
    });
    if (answer.isErr()) {
      state.failedUntil.set(memberKey(peer), clock.now() + FAILED_MILLISECONDS);
      return;
    }
    for (const loan of answer.value.loans) {
      ledger.recordBorrowed({
        loanId: loan.loanId,
        lenderAddress: peer.controlAddress,
        limit: borrower.limitKey(loan.target),
        units: 1,
        until: askedAt + durationMilliseconds,
      });
    }
    if (answer.value.loans.length > 0) {
      borrower.slotsArrived();
      answer.value.loans.forEach((loan) => {
        this.#returnSurplus(borrower, loan.target);
      });
    }
  }

  /** What arrived after the need for it had passed goes back. */
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

  /** Lends at once where slots are free here, else keeps the question for a short while. */
  async #answerBorrow(request: BorrowRequest): Promise<BorrowAnswer> {
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state === undefined) {
      return { loans: [] };
    }
    const loans = this.#lend(state, request);
    if (loans.length > 0 || request.waitMilliseconds === 0) {
      return { loans };
    }
    return new Promise((resolve) => {
      const waiting: WaitingPeer = { request, answer: resolve };
      state.waitingPeers.push(waiting);
      this.#options.clock.after(Math.min(WAIT_MILLISECONDS, request.waitMilliseconds), () => {
        const place = state.waitingPeers.indexOf(waiting);
        if (place >= 0) {
          state.waitingPeers.splice(place, 1);
          resolve({ loans: [] });
        }
      });
    });
  }

  #serveWaitingPeers(state: ServiceState): void {
    for (let first = state.waitingPeers[0]; first !== undefined; first = state.waitingPeers[0]) {
      const loans = this.#lend(state, first.request);
      if (loans.length === 0) {
        return;
      }
      state.waitingPeers.shift();
      first.answer({ loans });
    }
  }

  #lend({ borrower }: ServiceState, request: BorrowRequest): BorrowAnswer['loans'] {
    if (borrower.waiting > 0) {
      return [];
    }
    const free = borrower
      .spareSlots()
      .flatMap(({ target, units }) => Array.from({ length: units }, () => target));
    const loans: BorrowAnswer['loans'] = [];
    // Each slot is a loan of its own, since each comes back by itself.
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

  /** A slot that came back is free for whatever waits here, or at a peer. */
  #answerReturn(request: PeerParams<'slots.return'>): PeerResult<'slots.return'> {
    this.#options.ledger.takeBack(request);
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state !== undefined) {
      state.borrower.slotsArrived();
      this.#serveWaitingPeers(state);
    }
    return {};
  }

  /** A lender with requests of its own waiting wants its slots back. */
  #answerProlong(request: PeerParams<'slots.prolong'>): PeerResult<'slots.prolong'> {
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
