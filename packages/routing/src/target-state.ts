import { stableHash } from '@ferrylock/utils';
import type { DisabledMechanisms } from './mechanisms.js';
import { NO_DISABLED_MECHANISMS } from './mechanisms.js';
import type { TargetRecord } from './target-record.js';
import { incarnationId } from './target-incarnation.js';
import { TargetSignals } from './target-signals.js';

/** How long a load that the target itself told is taken as a lower bound of the present one. */
const LOAD_REPORT_LIFE_MILLISECONDS = 150;
/** A first failure keeps a target out of choice this long; each further one doubles it. */
const FIRST_EJECTION_MILLISECONDS = 400;
/** Longest that a failing target is left without a try. */
const LONGEST_EJECTION_MILLISECONDS = 3_000;
/** How long an object is taken to be known at a target that worked on it. */
const FAMILIAR_MILLISECONDS = 20_000;
/** Objects that are remembered for each target; targets themselves hold some 25 to 50. */
const MOST_FAMILIAR = 48;
/** How long a target that refused for lack of room is left alone. */
const SHED_HOLD_MILLISECONDS = 100;

/** One target as this entry host sees it: what is recorded, what it tells, and how tries end. */
export class TargetState {
  record: TargetRecord;
  /** Names this start of it, by which other hosts and later starts tell it apart. */
  readonly incarnationId: string;
  /** By which keys rank it among the others; the same for all its starts. */
  readonly idHash: number;
  /** Requests of this entry host at the target now. */
  inFlight = 0;
  /** Requests of the other entry hosts there, by host, as they reported last. */
  readonly peersInFlight = new Map<string, number>();
  /** What this start of it has said of itself in its answers. */
  readonly signals: TargetSignals;
  /** When it last gave a usable answer. */
  lastResponseAt = -Infinity;
  /** When the target last worked on an object, by its key, the longest ago first. */
  readonly #familiar = new Map<string, number>();
  #reportedLoad = 0;
  #reportedAt = -Infinity;
  #failures = 0;
  #ejectedUntil = -Infinity;
  #coldUntil = -Infinity;
  /** Its record says that it leaves, or another target answers at its address. */
  #isGoing = false;

  /** @param word - what this start of it said before, where its record had gone meanwhile */
  constructor(record: TargetRecord, now: number, word = new TargetSignals()) {
    this.record = record;
    this.signals = word;
    this.incarnationId = incarnationId(record);
    this.idHash = stableHash(record.id);
    this.update(record, now);
  }

  get id(): string {
    return this.record.id;
  }

  /**
   * Whether it wants no new work: by its own answer or its record, whichever said so first. A record that says ready
   * does not take an answer back; it may have been written before.
   */
  get leaving(): boolean {
    return this.#isGoing || this.signals.isLeaving;
  }

  /** Another target answers at its address: this start of it is gone. */
  recordReplaced(): void {
    this.#isGoing = true;
  }

  /** Whether it asked this host for rest that is not over. */
  isResting(now: number, leftOut: DisabledMechanisms = NO_DISABLED_MECHANISMS): boolean {
    return this.signals.isResting(now) && !leftOut.has('rest');
  }

  /** Takes over what is newly recorded. */
  update(record: TargetRecord, now: number): void {
    this.record = record;
    this.#isGoing ||= record.state === 'draining';
    this.recordCold(record.coldMilliseconds, now);
  }

  /** The target is slow for this much longer. */
  recordCold(milliseconds: number, now: number): void {
    if (milliseconds > 0) {
      this.#coldUntil = Math.max(this.#coldUntil, now + milliseconds);
    }
  }

  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /** Requests that it probably has now, running and waiting. */
  load(now: number, leftOut: DisabledMechanisms = NO_DISABLED_MECHANISMS): number {
    let counted = this.inFlight;
    if (!leftOut.has('peer-load')) {
      for (const count of this.peersInFlight.values()) {
        counted += count;
      }
    }
    const isTold = !leftOut.has('told-load');
    const isFresh = isTold && now - this.#reportedAt < LOAD_REPORT_LIFE_MILLISECONDS;
    return isFresh ? Math.max(counted, this.#reportedLoad) : counted;
  }

  /** @param load - requests running and waiting there, as the target told with an answer */
  recordLoad(load: number, now: number): void {
    this.#reportedLoad = load;
    this.#reportedAt = now;
  }

  /** Whether it worked on this object for this host not long ago. */
  hasCached(key: string, now: number): boolean {
    return now - (this.#familiar.get(key) ?? -Infinity) < FAMILIAR_MILLISECONDS;
  }

  /** @param key - the object that it worked on */
  recordResponse(key: string, now: number): void {
    this.lastResponseAt = now;
    this.#familiar.delete(key);
    this.#familiar.set(key, now);
    if (this.#familiar.size > MOST_FAMILIAR) {
      this.#familiar.delete(this.#familiar.keys().next().value ?? '');
    }
    this.#failures = 0;
  }

  /**
   * A try brought no usable answer.
   *
   * @returns for how long the target is now kept out of choice, in milliseconds
   */
  recordFailure(now: number): number {
    const doubled = FIRST_EJECTION_MILLISECONDS * 2 ** this.#failures;
    const milliseconds = Math.min(LONGEST_EJECTION_MILLISECONDS, doubled);
    this.#failures++;
    this.#ejectedUntil = now + milliseconds;
    return milliseconds;
  }

  /** It refused for lack of room; others are better for a moment. */
  recordShed(now: number): void {
    this.#ejectedUntil = Math.max(this.#ejectedUntil, now + SHED_HOLD_MILLISECONDS);
  }
}
