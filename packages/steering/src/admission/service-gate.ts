import type { Cancellation, Clock } from '@ferrylock/utils';
import { MovingAverage } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { Target } from '../targets/target.js';
import type { SlotBook } from '../targets/slot-book.js';
import type { NotRun } from '../verdict.js';
import { notRun } from '../verdict.js';

const SERVICE_TIME_WEIGHT = 0.05;
/** Waiting requests for each usable slot, beyond which a queue only makes answers late. */
const QUEUE_PER_SLOT = 4;
const SMALLEST_QUEUE = 16;
/** A waiting request looks for room in a link's cap this often. */
const RECHECK_MILLISECONDS = 5;

/** One request on its way to a target. */
export interface GateRequest {
  /** Clock reading by which the caller wants the whole answer. */
  readonly deadlineAt: number;
  readonly caller: Cancellation;
  /**
   * From 0 to 1, the same for all requests of one task. When not all can be done, those with the
   * highest rank give way, so that whole tasks are refused and not parts of all of them.
   */
  readonly rank: number;
  /** Whether the target may be taken now, apart from its slots. */
  readonly accept: (target: Target) => boolean;
  /** Called in the same turn in which the target is taken. */
  readonly onTaken: (target: Target) => void;
}

interface Waiting {
  readonly request: GateRequest;
  readonly enteredAt: number;
  readonly resolve: (outcome: Result<Target, NotRun>) => void;
  /** Aborted when the request no longer waits, so that its timer does not stay behind. */
  readonly settled: AbortController;
}

export interface ServiceGateOptions {
  readonly book: SlotBook;
  readonly clock: Clock;
  /** Most requests that wait; by default a few for each usable slot. */
  readonly queueLimit?: number | undefined;
  /** Whether any target is open at all. */
  readonly hasOpenTarget: () => boolean;
  /** When one may be open again where none is, in seconds. */
  readonly opensInSeconds: () => number;
  /** Called when requests wait and no slot is free here. */
  readonly onShortage: () => void;
  /** Called when a slot has come free and no request waits for it. */
  readonly onUnused: (target: Target) => void;
}

/**
 * Lets requests of one service through to its targets, each with a slot of its own. Those that find
 * none wait in a short queue; one that cannot be done in time is refused at once, before it is run.
 */
export class ServiceGate {
  readonly #options: ServiceGateOptions;
  readonly #queue: Waiting[] = [];
  readonly #serviceTime = new MovingAverage(SERVICE_TIME_WEIGHT);
  readonly #queueTime = new MovingAverage(SERVICE_TIME_WEIGHT);
  #rechecking = false;

  constructor(options: ServiceGateOptions) {
    this.#options = options;
  }

  /** Requests that wait for a slot. */
  get waiting(): number {
    return this.#queue.length;
  }

  /** Milliseconds that the oldest waiting request has waited; 0 where none waits. */
  get headWaitMilliseconds(): number {
    const [head] = this.#queue;
    return head === undefined ? 0 : this.#options.clock.now() - head.enteredAt;
  }

  /** Milliseconds that requests have waited lately. */
  get queueMilliseconds(): number {
    return this.#queueTime.value ?? 0;
  }

  /** Resolves with a target whose slot is taken, or with the reason for which none will be. */
  enter(request: GateRequest): Promise<Result<Target, NotRun>> {
    const taken = this.#queue.length === 0 ? this.#tryTake(request) : undefined;
    if (taken !== undefined) {
      this.#queueTime.add(0);
      return Promise.resolve(Ok(taken));
    }
    const refusal = this.#makeRoom(request);
    if (refusal !== undefined) {
      return Promise.resolve(Err(refusal));
    }
    return new Promise((resolve) => {
      const enteredAt = this.#options.clock.now();
      const waiting = { request, enteredAt, resolve, settled: new AbortController() };
      this.#queue.push(waiting);
      void this.#expire(waiting);
      this.pump();
    });
  }

  /** Gives a slot back after its request has ended. */
  leave(target: Target, tookMilliseconds: number): void {
    this.#serviceTime.add(tookMilliseconds);
    this.#options.book.release(target);
    this.pump();
    this.#options.onUnused(target);
  }

  /** Lets waiting requests through as far as slots and caps allow, oldest first. */
  pump(): void {
    if (this.#queue.length > 0 && !this.#options.hasOpenTarget()) {
      this.#refuseWaiting();
      return;
    }
    for (let head = this.#queue[0]; head !== undefined; head = this.#queue[0]) {
      const taken = this.#tryTake(head.request);
      if (taken === undefined) {
        this.#options.onShortage();
        this.#recheckLater();
        return;
      }
      this.#queue.shift();
      head.settled.abort();
      this.#queueTime.add(this.#options.clock.now() - head.enteredAt);
      head.resolve(Ok(taken));
    }
  }

  #tryTake(request: GateRequest): Target | undefined {
    const target = this.#options.book.take(request.deadlineAt, request.accept);
    if (target !== undefined) {
      request.onTaken(target);
    }
    return target;
  }

  /** Refuses the request, or one that waits and has to give way to it, where the queue is full. */
  #makeRoom(request: GateRequest): NotRun | undefined {
    if (!this.#options.hasOpenTarget()) {
      return this.#noTarget();
    }
    const refusal = this.#refusalWhenFull(request);
    const worst = refusal === undefined ? undefined : this.#highestRanked();
    if (refusal === undefined || worst === undefined || worst.request.rank <= request.rank) {
      return refusal;
    }
    this.#queue.splice(this.#queue.indexOf(worst), 1);
    worst.settled.abort();
    worst.resolve(Err(refusal));
    return undefined;
  }

  #noTarget(): NotRun {
    return notRun('no-target', 'no target of the service is open', this.#options.opensInSeconds());
  }

  /** Nothing is held back that no target will take: a caller that is told so in time can go elsewhere. */
  #refuseWaiting(): void {
    const refusal = this.#noTarget();
    for (const { settled, resolve } of this.#queue.splice(0)) {
      settled.abort();
      resolve(Err(refusal));
    }
  }

  #highestRanked(): Waiting | undefined {
    return this.#queue.reduce<Waiting | undefined>(
      (worst, waiting) =>
        worst === undefined || waiting.request.rank > worst.request.rank ? waiting : worst,
      undefined,
    );
  }

  #refusalWhenFull(request: GateRequest): NotRun | undefined {
    const remaining = request.deadlineAt - this.#options.clock.now();
    const usable = Math.max(1, this.#options.book.usableSlots());
    const serviceTime = this.#serviceTime.value ?? 0;
    const wait = (this.#queue.length * serviceTime) / usable;
    const queueLimit =
      this.#options.queueLimit ?? Math.max(SMALLEST_QUEUE, QUEUE_PER_SLOT * usable);
    if (this.#queue.length >= queueLimit || wait + serviceTime > remaining) {
      return notRun('overload', 'the service has no room in time', Math.ceil(wait / 1_000) + 1);
    }
    return undefined;
  }

  /** Refuses a waiting request as soon as it can no longer be done in time. */
  async #expire(waiting: Waiting): Promise<void> {
    const { clock } = this.#options;
    const { deadlineAt, caller } = waiting.request;
    const latestStart = deadlineAt - (this.#serviceTime.value ?? 0);
    const woken = AbortSignal.any([caller.signal, waiting.settled.signal]);
    await clock.sleep(Math.max(0, latestStart - clock.now()), woken);
    const place = this.#queue.indexOf(waiting);
    if (place >= 0) {
      this.#queue.splice(place, 1);
      const refusal = caller.isCancelled
        ? notRun('caller-gone', 'the caller went away while waiting')
        : notRun('deadline', 'no slot came free in time', 1);
      waiting.resolve(Err(refusal));
    }
  }

  /** Caps gain room by time alone, which no event tells of. */
  #recheckLater(): void {
    if (this.#rechecking) {
      return;
    }
    this.#rechecking = true;
    void this.#options.clock.sleep(RECHECK_MILLISECONDS).then(() => {
      this.#rechecking = false;
      this.pump();
    });
  }
}
