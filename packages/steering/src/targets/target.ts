import { TargetSignals } from '@ferrylock/routing';
import type { TargetDeclaration } from '@ferrylock/schema';
import { MovingAverage } from '@ferrylock/utils';
import type { SharedBucket } from '../limits/shared-bucket.js';
import type { Place } from '../lookup/distance-map.js';

/** Failures in a row after which a target is left alone for a while. */
const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MILLISECONDS = 2_000;
const LONGEST_EJECTION_MILLISECONDS = 30_000;
const LATENCY_WEIGHT = 0.1;
/** Answers after which a target's caches count as warm. */
const WARM_AFTER_ANSWERS = 50;
/** Share of its slots that a cold target gets at first. */
const COLD_SHARE = 0.25;

/** One target as this daemon sees it. Its own observations outrank what the target reports. */
export class Target {
  readonly latency = new MovingAverage(LATENCY_WEIGHT);
  inFlight = 0;
  /** Clock reading at which this daemon last gave it work. */
  lastUsedAt = -Infinity;
  /** Set by an operator's drain. */
  drained = false;
  /** Set by the target's own answers; taken back by its answer to a later probe. */
  leaving = false;
  /** Answers to requests that said that it leaves: a probe that was under way then does not take it back. */
  saidLeaving = 0;
  /** What it has said of itself in its answers. */
  readonly word = new TargetSignals();
  /**
   * This daemon's part of the requests a second that it takes from all daemons together, as its answers name them; undefined where
   * they name none.
   */
  limit: SharedBucket | undefined;
  /** Utilisation that the target reported last, 0 to 1; a hint among equals and nothing more. */
  reportedLoad: number | undefined;
  #failuresInARow = 0;
  #ejections = 0;
  #ejectedUntil = -Infinity;
  #answers = 0;
  #coldFrom = -Infinity;

  constructor(
    readonly name: string,
    /** Names its slots among the limits that all daemons divide between them. */
    readonly limitKey: string,
    /** Names the requests a second that it takes, likewise. */
    readonly namedLimitKey: string,
    readonly declaration: TargetDeclaration,
    readonly place: Place,
  ) {}

  get address(): string {
    const { address, port } = this.declaration;
    return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
  }

  get slots(): number {
    return this.declaration.slots;
  }

  /** Whether it asked this daemon for rest that is not over. */
  isResting(now: number): boolean {
    return this.word.isResting(now);
  }

  /** Whether it gets as many requests as it takes: this daemon has none left to send. */
  get isAtLimit(): boolean {
    return this.limit !== undefined && !this.limit.has(1);
  }

  /** Whether it may be given new work, apart from its free slots. */
  isOpen(now: number): boolean {
    return !this.drained && !this.leaving && now >= this.#ejectedUntil;
  }

  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /** Slots that this daemon may use of the given ones: fewer while the target is cold. */
  warmSlots(slots: number): number {
    if (slots === 0 || this.#answers >= WARM_AFTER_ANSWERS) {
      return slots;
    }
    const share = COLD_SHARE + (1 - COLD_SHARE) * (this.#answers / WARM_AFTER_ANSWERS);
    return Math.max(1, Math.floor(slots * share));
  }

  /** Treats the target as cold: it is new, or comes back after an absence. */
  startCold(now: number): void {
    this.#answers = 0;
    this.#coldFrom = now;
  }

  /** Treats the target as warm, as when this daemon itself is new and the target is not. */
  assumeWarm(): void {
    this.#answers = WARM_AFTER_ANSWERS;
  }

  recordAnswer(milliseconds: number): void {
    this.latency.add(milliseconds);
    this.#failuresInARow = 0;
    this.#ejections = 0;
    this.#answers++;
  }

  /** Counts a failure; several in a row close the target for a time that doubles. */
  recordFailure(now: number): void {
    this.#failuresInARow++;
    if (this.#failuresInARow < FAILURES_TO_EJECT || now < this.#ejectedUntil) {
      return;
    }
    const length = FIRST_EJECTION_MILLISECONDS * 2 ** this.#ejections;
    this.#ejectedUntil = now + Math.min(LONGEST_EJECTION_MILLISECONDS, length);
    this.#ejections++;
    this.#failuresInARow = 0;
    this.startCold(now);
  }

  /** Opens the target again before its time, as when most look sick and the signal is doubted. */
  pardon(now: number): void {
    this.#ejectedUntil = now;
  }

  get coldSince(): number {
    return this.#coldFrom;
  }
}
