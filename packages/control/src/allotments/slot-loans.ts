import type { Clock, Logger, Random } from '@ferrylock/utils';
import { BackgroundTasks, jittered, shuffled } from '@ferrylock/utils';
import { memberKey } from '../membership/member.js';
import type { Member } from '../membership/member.js';
import type { Membership } from '../membership/membership.js';
import type { PeerClient } from '../peer/peer-client.js';
import type { PeerParams, PeerResult } from '../peer/peer-methods.js';
import type { PeerRouter } from '../peer/peer-router.js';
import type { AllotmentLedger, BorrowedUnits } from './allotment-ledger.js';

/** Peers asked one after another before a pause. */
const ASKS_IN_A_ROW = 4;
/** Pause after peers had nothing to lend, in milliseconds. */
const PAUSE_MILLISECONDS = 5;
/** Asks under way at a time for one service. */
const PARALLEL_ASKS = 2;
/** Slots asked for in one message. */
const SLOTS_PER_ASK = 4;
/** How long a peer's word that it has free slots, or none, is believed. */
const HINT_MILLISECONDS = 50;
/** Time for which a borrowed slot may be given new work, on top of the longest deadline. */
const REUSE_MILLISECONDS = 1_000;

/** What the loans need of a service: its own free slots to lend, and its hunger for more. */
export interface SlotBorrower {
  readonly account: string;
  readonly service: string;
  readonly longestDeadlineMilliseconds: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** The limit key of a target's slots. */
  limitKey(target: string): string;
  /** Own slots that are neither in use nor lent, by target, best to lend first. */
  spareSlots(): readonly { readonly target: string; readonly units: number }[];
  /** Called when slots have been borrowed. */
  slotsArrived(): void;
}

interface Hint {
  readonly spare: number;
  readonly at: number;
}

interface ServiceState {
  readonly borrower: SlotBorrower;
  readonly hints: Map<string, Hint>;
  asking: number;
}

export interface SlotLoansOptions {
  readonly ledger: AllotmentLedger;
  readonly membership: Pick<Membership, 'self' | 'knownPeers'>;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
}

/** Moves free slots to daemons where requests wait, one loan for as long as a request may last. */
export class SlotLoans {
  readonly #options: SlotLoansOptions;
  readonly #tasks: BackgroundTasks;
  readonly #services = new Map<string, ServiceState>();
  #loanCount = 0;

  constructor(options: SlotLoansOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.logger);
  }

  /** Puts a service's borrower in the place of the one it had before. */
  add(borrower: SlotBorrower): void {
    const key = serviceKey(borrower.account, borrower.service);
    const before = this.#services.get(key);
    this.#services.set(key, {
      borrower,
      hints: before?.hints ?? new Map<string, Hint>(),
      asking: 0,
    });
  }

  remove(account: string, service: string): void {
    this.#services.delete(serviceKey(account, service));
  }

  register(router: PeerRouter): void {
    router.handle('slots.borrow', (request) => this.#answerBorrow(request));
  }

  async stop(): Promise<void> {
    await this.#tasks.stop();
  }

  /** Starts to look for slots at peers, unless enough is under way already. */
  want(account: string, service: string): void {
    const state = this.#services.get(serviceKey(account, service));
    if (state === undefined || this.#tasks.stopped) {
      return;
    }
    const useful = Math.min(PARALLEL_ASKS, state.borrower.waiting);
    if (state.asking < useful) {
      state.asking++;
      this.#tasks.start('borrow slots', async (signal) => {
        await this.#askPeers(state, signal);
        state.asking--;
      });
    }
  }

  /** Returns what was borrowed of a target's slots and is not in use. */
  returnUnused(borrower: SlotBorrower, target: string, unused: number): void {
    let left = unused;
    for (const loan of this.#options.ledger.borrowedLoans(borrower.limitKey(target))) {
      if (loan.units <= left) {
        left -= loan.units;
        this.#return(loan);
      }
    }
  }

  #return(loan: BorrowedUnits): void {
    const { ledger, peers, membership } = this.#options;
    ledger.forgetBorrowed(loan.loanId);
    void peers.call(loan.lenderAddress, 'allotments.return', {
      loanId: loan.loanId,
      borrower: memberKey(membership.self),
    });
  }

  async #askPeers(state: ServiceState, signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted && state.borrower.waiting > 0) {
      for (const peer of this.#lenders(state).slice(0, ASKS_IN_A_ROW)) {
        if (state.borrower.waiting === 0) {
          return;
        }
        await this.#ask(state, peer);
      }
      await clock.sleep(jittered(random, PAUSE_MILLISECONDS), signal);
    }
  }

  /** Peers that said they have free slots, then those not heard of; near ones before far ones. */
  #lenders(state: ServiceState): Member[] {
    const { membership, random, clock } = this.#options;
    const now = clock.now();
    const freshHint = (peer: Member): number | undefined => {
      const hint = state.hints.get(memberKey(peer));
      return hint !== undefined && now - hint.at < HINT_MILLISECONDS ? hint.spare : undefined;
    };
    const rank = (peer: Member): number => {
      const spare = freshHint(peer);
      const far = peer.region === membership.self.region ? 0 : 1;
      return (spare === undefined ? 1 : spare > 0 ? 0 : 9) * 2 + far;
    };
    return shuffled(random, membership.knownPeers())
      .filter((peer) => freshHint(peer) !== 0)
      .sort((a, b) => rank(a) - rank(b));
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
    });
    const spare = answer.isOk() ? answer.value.spare : 0;
    state.hints.set(memberKey(peer), { spare, at: clock.now() });
    if (answer.isErr()) {
      return;
    }
    for (const loan of answer.value.loans) {
      ledger.recordBorrowed({
        loanId: targetLoanId(loanId, loan.target),
        lenderAddress: peer.controlAddress,
        limit: borrower.limitKey(loan.target),
        units: loan.units,
        until: askedAt + durationMilliseconds,
      });
    }
    if (answer.value.loans.length > 0) {
      borrower.slotsArrived();
    }
  }

  #answerBorrow(request: PeerParams<'slots.borrow'>): PeerResult<'slots.borrow'> {
    const state = this.#services.get(serviceKey(request.account, request.service));
    if (state === undefined || state.borrower.waiting > 0) {
      return { loans: [], spare: 0 };
    }
    const { borrower } = state;
    const loans: { target: string; units: number }[] = [];
    let missing = request.slots;
    let spare = 0;
    for (const { target, units: free } of borrower.spareSlots()) {
      const units = this.#options.ledger.lend(
        {
          loanId: targetLoanId(request.loanId, target),
          borrower: request.borrower,
          limit: borrower.limitKey(target),
          units: Math.min(free, missing),
          durationMilliseconds: request.durationMilliseconds,
        },
        free,
      );
      if (units > 0) {
        loans.push({ target, units });
      }
      missing -= units;
      spare += free - units;
    }
    return { loans, spare };
  }
}

function serviceKey(account: string, service: string): string {
  return `${account}/${service}`;
}

function targetLoanId(loanId: string, target: string): string {
  return `${loanId}/${target}`;
}
