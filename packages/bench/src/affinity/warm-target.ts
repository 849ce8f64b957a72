/** Queue of a target, for each of its slots; what comes beyond is refused. */
const QUEUE_PER_SLOT = 3;

/** A request at a target. */
export interface TargetWork {
  readonly key: string;
  /** Called with the time of the end, and whether the object was known. */
  readonly onEnd: (at: number, wasKnown: boolean) => void;
}

export interface WarmTargetOptions {
  readonly id: string;
  readonly region: number;
  readonly slots: number;
  /** Objects that it holds; the least recently used goes first. */
  readonly holds: number;
  readonly knownMilliseconds: number;
  readonly unknownMilliseconds: number;
  readonly schedule: (at: number, run: () => void) => void;
  /** A factor on the time of work, drawn for each request. */
  readonly spread: () => number;
}

/** A target that works faster on objects that it holds. */
export class WarmTarget {
  mostRunning = 0;
  mostWaiting = 0;
  readonly #options: WarmTargetOptions;
  readonly #held = new Set<string>();
  readonly #waiting: TargetWork[] = [];
  #running = 0;

  constructor(options: WarmTargetOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  get region(): number {
    return this.#options.region;
  }

  /** Takes a request on, or refuses it with false. */
  take(work: TargetWork, now: number): boolean {
    const { slots } = this.#options;
    if (this.#running < slots) {
      this.#start(work, now);
      return true;
    }
    if (this.#waiting.length >= QUEUE_PER_SLOT * slots) {
      return false;
    }
    this.#waiting.push(work);
    this.mostWaiting = Math.max(this.mostWaiting, this.#waiting.length);
    return true;
  }

  #start(work: TargetWork, now: number): void {
    const { knownMilliseconds, unknownMilliseconds, schedule, spread } = this.#options;
    const wasKnown = this.#held.has(work.key);
    this.#running++;
    this.mostRunning = Math.max(this.mostRunning, this.#running);
    const end = now + (wasKnown ? knownMilliseconds : unknownMilliseconds) * spread();
    schedule(end, () => {
      this.#running--;
      this.#hold(work.key);
      work.onEnd(end, wasKnown);
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#start(next, end);
      }
    });
  }

  #hold(key: string): void {
    this.#held.delete(key);
    this.#held.add(key);
    if (this.#held.size > this.#options.holds) {
      this.#held.delete(this.#held.values().next().value ?? '');
    }
  }
}
