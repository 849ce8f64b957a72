import type { VirtualTime } from './virtual-time.js';

/** A request at a target. */
export interface TargetWork {
  readonly key: string;
  readonly knownMilliseconds: number;
  readonly unknownMilliseconds: number;
  /** Called at the end of the work, with whether the object was known. */
  readonly onEnd: (wasKnown: boolean) => void;
}

/** A target that refuses by its load, and asks for rest. */
export interface RestRule {
  /** Requests for each slot from which it refuses. */
  readonly fromLoadPerSlot: number;
  /** How long it wants nothing from the host that it refused. */
  readonly milliseconds: number;
  /** The one host that it refuses; all where none is named. */
  readonly host: string | undefined;
}

/** What is wrong with a target, as a factor on its time of work and a part that it refuses. */
export interface TargetFault {
  readonly slowFactor: number;
  readonly refusedShare: number;
  readonly rest?: RestRule;
}

const NO_FAULT: TargetFault = { slowFactor: 1, refusedShare: 0 };

export interface EmulatedTargetOptions {
  readonly id: string;
  readonly service: string;
  readonly region: string;
  readonly slots: number;
  /** Objects that it holds; the least recently used goes first. */
  readonly holds: number;
  /** Requests waiting for each slot beyond which it refuses. */
  readonly queuePerSlot: number;
  readonly coldFactor: number;
  readonly time: VirtualTime;
  /** A number from 0 up to but not including 1, for each request. */
  readonly draw: () => number;
}

/** A target that works on few requests at a time, and faster on objects that it holds. */
export class EmulatedTarget {
  fault: TargetFault = NO_FAULT;
  isGone = false;
  readonly options: EmulatedTargetOptions;
  readonly #held = new Set<string>();
  readonly #waiting: TargetWork[] = [];
  readonly #running = new Set<TargetWork>();
  #coldUntil = -Infinity;

  constructor(options: EmulatedTargetOptions) {
    this.options = options;
  }

  get id(): string {
    return this.options.id;
  }

  /** Requests running and waiting, as it tells with its answers. */
  get load(): number {
    return this.#running.size + this.#waiting.length;
  }

  /** Starts anew: nothing is held, and work takes longer for a while. */
  restart(coldMilliseconds: number): void {
    this.#held.clear();
    this.#coldUntil = this.options.time.now() + coldMilliseconds;
  }

  repair(): void {
    this.fault = NO_FAULT;
  }

  /** For how long it wants nothing from a host that it refuses now; undefined where it asks for nothing. */
  restFor(host: string): number | undefined {
    const { rest } = this.fault;
    const isMeant = rest !== undefined && (rest.host ?? host) === host && !this.isGone;
    const isReached = isMeant && this.load >= rest.fromLoadPerSlot * this.options.slots;
    return isReached ? rest.milliseconds : undefined;
  }

  /** Takes a request on, or refuses it with false. */
  take(work: TargetWork): boolean {
    const { slots, queuePerSlot, draw } = this.options;
    if (this.isGone || draw() < this.fault.refusedShare) {
      return false;
    }
    if (this.#running.size < slots) {
      this.#start(work);
      return true;
    }
    if (this.#waiting.length >= queuePerSlot * slots) {
      return false;
    }
    this.#waiting.push(work);
    return true;
  }

  /** Its caller has gone: the work ends, or is never begun. */
  cancel(work: TargetWork): void {
    const index = this.#waiting.indexOf(work);
    if (index >= 0) {
      this.#waiting.splice(index, 1);
    } else if (this.#running.delete(work)) {
      this.#startNext();
    }
  }

  #start(work: TargetWork): void {
    const { time, coldFactor } = this.options;
    const wasKnown = this.#held.has(work.key);
    const coldness = time.now() < this.#coldUntil ? coldFactor : 1;
    const base = wasKnown ? work.knownMilliseconds : work.unknownMilliseconds;
    this.#running.add(work);
    time.after(base * coldness * this.fault.slowFactor, () => {
      if (!this.#running.delete(work)) {
        return;
      }
      this.#hold(work.key);
      work.onEnd(wasKnown);
      this.#startNext();
    });
  }

  #startNext(): void {
    const next = this.#waiting.shift();
    if (next !== undefined) {
      this.#start(next);
    }
  }

  #hold(key: string): void {
    this.#held.delete(key);
    this.#held.add(key);
    if (this.#held.size > this.options.holds) {
      this.#held.delete(this.#held.values().next().value ?? '');
    }
  }
}
