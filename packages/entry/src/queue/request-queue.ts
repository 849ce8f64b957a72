import { ReturnSchedule } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { AfterPoll } from '../after-poll.js';
import { createLatencyHistogram, recordLatency } from '../request/latency-histogram.js';
import { hostOverload } from '../request/refusals.js';
import type { Refusal } from '../request/refusal.js';
import { AcceptDelay } from './accept-delay.js';
import { StartInterval } from './start-interval.js';
import { WaitingRequests } from './waiting-requests.js';

/** Time for which requests wait without a break until work goes on beside the reading of others. */
const READ_FIRST_MILLISECONDS = 100;
/**
 * Time between starts from then on, while connections wait: that of one request at a small host, and
 * a part of the time for which connections have waited, so that reading catches up.
 */
const MIN_READING_MILLISECONDS = 5;
const READING_SHARE = 0.1;
/** Time for which requests wait without a break until a surge has become a shortage. */
const SHORTAGE_MILLISECONDS = 1_000;
/** Longest wait in a shortage, as a fraction of the latency that callers aim for. */
const SHORTAGE_WAIT = 0.5;
/** Longest wait in a surge, as such a fraction. */
const SURGE_WAIT = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** A request that this host has read. */
export interface ReadRequest {
  /** Priority under overload; 0 is the most urgent. */
  readonly priority: number;
  /** Name of the client account, if there is one. */
  readonly account: string | undefined;
  /** Latency up to which a response is fully useful to the caller. */
  readonly targetLatencyMilliseconds: number;
  /** Time in monotonic milliseconds at which it was read. */
  readonly arrivedAt: number;
  /** Whether its caller has closed the connection, as far as this host has read it. */
  readonly isCallerGone: () => boolean;
}

/** What follows for a request that waited. */
export type QueueVerdict = 'start' | 'caller-gone' | Refusal;

interface Waiter extends ReadRequest {
  /** Turn of the event loop in which it was read. */
  readonly turn: number;
  readonly resolve: (verdict: QueueVerdict) => void;
}

export interface RequestQueueOptions {
  readonly clock: Clock;
  readonly afterPoll: AfterPoll;
  /** True if requests start as soon as they are read. */
  readonly isDisabled: boolean;
}

/**
 * Starts work on requests in turn, after all that waits to be read has been read. What a busy host
 * has not read has no time-out, no priority and no caller that may have left; what it has read can
 * be refused at once. So a turn of the event loop that accepts a connection starts no request, unless
 * none has started for some time; any other one starts one. None starts before the loop has polled
 * once more since it was read: by then a close that came with the request is known.
 *
 * That the wait of requests is what shows and bounds overload, and that the less urgent are refused
 * first, is from Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018, 4.1
 * and 4.2. Here each wait is known in advance from the order and the pace of the starts.
 */
export class RequestQueue {
  /** The connections that this host accepts. */
  readonly accepts: AcceptDelay;
  /** Waits in milliseconds of the requests that were started. */
  readonly waits = createLatencyHistogram();
  /** Number of requests whose callers left before they were started. */
  callersGone = 0;
  /** Number of requests that were refused. */
  refused = 0;
  readonly #options: RequestQueueOptions;
  readonly #waiting = new WaitingRequests<Waiter>();
  readonly #interval = new StartInterval();
  readonly #returns: ReturnSchedule;
  #turn = 0;
  #isWatching = false;
  #acceptedBefore = 0;
  /** Time since which no turn was free for a start. */
  #acceptingSince: number | undefined;
  /** Time since which requests have waited without a break. */
  #waitingSince = 0;

  constructor(options: RequestQueueOptions) {
    this.#options = options;
    this.accepts = new AcceptDelay(options.clock, options.afterPoll);
    this.#returns = new ReturnSchedule(options.clock);
  }

  /** Number of requests that wait. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Resolves when work on a request may start, or it is not to start at all. */
  wait(request: ReadRequest): Promise<QueueVerdict> {
    if (this.#options.isDisabled) {
      return Promise.resolve('start');
    }
    if (this.#waiting.size === 0) {
      this.#waitingSince = this.#options.clock.now();
    }
    return new Promise((resolve) => {
      this.#waiting.add({ ...request, turn: this.#turn, resolve });
      this.#watch();
    });
  }

  #watch(): void {
    if (!this.#isWatching) {
      this.#isWatching = true;
      this.#options.afterPoll(() => {
        this.#isWatching = false;
        this.#endTurn();
      });
    }
  }

  #endTurn(): void {
    this.#turn++;
    this.#dropGone();
    this.#refuseLate();
    if (this.#mayStart()) {
      this.#startNext();
    }
    if (this.#waiting.size > 0) {
      this.#watch();
    }
  }

  #mayStart(): boolean {
    const { accepted } = this.accepts;
    const isAccepting = accepted !== this.#acceptedBefore;
    this.#acceptedBefore = accepted;
    const now = this.#options.clock.now();
    this.#acceptingSince ??= now;
    const reading = MIN_READING_MILLISECONDS + READING_SHARE * this.accepts.milliseconds;
    const isReadFirst =
      now - this.#waitingSince < READ_FIRST_MILLISECONDS || now - this.#acceptingSince < reading;
    if (isAccepting && isReadFirst) {
      return false;
    }
    this.#acceptingSince = undefined;
    return true;
  }

  #startNext(): void {
    const next = this.#waiting.take(({ turn }) => turn + 1 < this.#turn);
    if (next === undefined) {
      return;
    }
    const now = this.#options.clock.now();
    this.#interval.recordStart(now, this.#waiting.size > 0);
    recordLatency(this.waits, now - next.arrivedAt);
    next.resolve('start');
  }

  #dropGone(): void {
    for (const { resolve } of this.#waiting.remove(({ isCallerGone }) => isCallerGone())) {
      this.callersGone++;
      resolve('caller-gone');
    }
  }

  /** Refuses the requests that would wait too long behind others, the least urgent first. */
  #refuseLate(): void {
    const { milliseconds } = this.#interval;
    const now = this.#options.clock.now();
    const isShort = now - this.#waitingSince > SHORTAGE_MILLISECONDS;
    const mostWait = isShort ? SHORTAGE_WAIT : SURGE_WAIT;
    const refused = this.#waiting.remove((request, ahead) => {
      const { arrivedAt, targetLatencyMilliseconds } = request;
      const wait = now - arrivedAt + ahead * milliseconds;
      return ahead > 0 && wait > mostWait * targetLatencyMilliseconds;
    });
    for (const { resolve } of refused) {
      this.refused++;
      const rate = MILLISECONDS_PER_SECOND / Math.max(1, milliseconds);
      resolve(hostOverload(this.#returns.next('', rate)));
    }
  }
}
