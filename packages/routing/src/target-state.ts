import { stableHash } from '@ferrylock/utils';
import { requestsOf } from './load-reading.js';
import type { LoadReading } from './load-reading.js';
import type { DisabledMechanisms } from './mechanisms.js';
import { NO_DISABLED_MECHANISMS } from './mechanisms.js';
import type { TargetRecord } from './target-record.js';
import { incarnationId } from './target-incarnation.js';
import { TargetSignals } from './target-signals.js';

/** Time for which a load reported by a target counts as a lower bound of its current load. */
const LOAD_REPORT_TTL_MILLISECONDS = 150;
/** Ejection time after the first failure; doubles with each further one. */
const FIRST_EJECTION_MILLISECONDS = 400;
/** Upper bound of the ejection time. */
const MAX_EJECTION_MILLISECONDS = 3_000;
/** Time for which an object is presumed to be in the cache of a target that processed it. */
const CACHE_TTL_MILLISECONDS = 20_000;
/** Limit on objects tracked for each target; targets cache about 25 to 50. */
const MAX_CACHED_OBJECTS = 48;
/** Ejection time of a target that shed a request. */
const SHED_EJECTION_MILLISECONDS = 100;

/** How long work takes at a target, as it last reported. */
export interface WorkTime {
  /** Percent of the usual time. */
  readonly percent: number;
  readonly ageMilliseconds: number;
}

/** State of one target as seen by this host: its record, its signals, and results of attempts. */
export class TargetState {
  record: TargetRecord;
  /** Identifies this incarnation to peers and against later incarnations. */
  readonly incarnationId: string;
  /** Hash that rendezvous ranking uses; the same for all incarnations. */
  readonly idHash: number;
  /** Requests of this entry host in flight at the target. */
  inFlight = 0;
  /** Requests of peers in flight at the target, by host, as last reported. */
  readonly peersInFlight = new Map<string, number>();
  /** Signals that this incarnation sent in its responses. */
  readonly signals: TargetSignals;
  /** Time of the last usable response. */
  lastResponseAt = -Infinity;
  /** Time of the last response for each object by key, least recent first. */
  readonly #cachedObjects = new Map<string, number>();
  #reportedLoad = 0;
  #workTimePercent: number | undefined;
  #workTimeAt = -Infinity;
  #reportedAt = -Infinity;
  #failures = 0;
  #ejectedUntil = -Infinity;
  #coldUntil = -Infinity;
  /** Set when its record is draining or another target responds at its address. */
  #isDraining = false;

  /** @param signals - signals of this incarnation before its record was removed */
  constructor(record: TargetRecord, now: number, signals = new TargetSignals()) {
    this.record = record;
    this.signals = signals;
    this.incarnationId = incarnationId(record);
    this.idHash = stableHash(record.id);
    this.update(record, now);
  }

  get id(): string {
    return this.record.id;
  }

  /**
   * Tells whether the target accepts no new requests, by its responses or its record. A later
   * record that says ready does not revoke it, since it may have been written earlier.
   */
  get leaving(): boolean {
    return this.#isDraining || this.signals.isLeaving;
  }

  /** Records that another target took over the address, so that this incarnation is gone. */
  recordReplaced(): void {
    this.#isDraining = true;
  }

  /** Tells whether the target rests (a back-off that it requested through Retry-After). */
  isResting(now: number, disabled: DisabledMechanisms = NO_DISABLED_MECHANISMS): boolean {
    return this.signals.isResting(now) && !disabled.has('rest');
  }

  /** Applies a newer record. */
  update(record: TargetRecord, now: number): void {
    this.record = record;
    this.#isDraining ||= record.state === 'draining';
    this.recordCold(record.coldMilliseconds, now);
  }

  /** Records the remaining duration of its cold start. */
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

  /** Estimated current requests at the target, running and queued. */
  load(now: number, disabled: DisabledMechanisms = NO_DISABLED_MECHANISMS): number {
    let counted = this.inFlight;
    if (!disabled.has('peer-load')) {
      for (const count of this.peersInFlight.values()) {
        counted += count;
      }
    }
    const usesReports = !disabled.has('told-load');
    const isRecent = usesReports && now - this.#reportedAt < LOAD_REPORT_TTL_MILLISECONDS;
    return isRecent ? Math.max(counted, this.#reportedLoad) : counted;
  }

  /** Records the load that a response reports; figures that it lacks stay as they are. */
  recordLoad(reading: LoadReading, now: number): void {
    const requests = requestsOf(reading);
    if (requests !== undefined) {
      this.#reportedLoad = requests;
      this.#reportedAt = now;
    }
    if (reading.workTimePercent !== undefined) {
      this.#workTimePercent = reading.workTimePercent;
      this.#workTimeAt = now;
    }
  }

  /** Work time that the target last reported, with its age; undefined if it reports none. */
  workTime(now: number): WorkTime | undefined {
    return this.#workTimePercent === undefined
      ? undefined
      : { percent: this.#workTimePercent, ageMilliseconds: now - this.#workTimeAt };
  }

  /** Tells whether it recently processed the object for this host. */
  hasCached(key: string, now: number): boolean {
    return now - (this.#cachedObjects.get(key) ?? -Infinity) < CACHE_TTL_MILLISECONDS;
  }

  /** @param key - key of the processed object */
  recordResponse(key: string, now: number): void {
    this.lastResponseAt = now;
    this.#cachedObjects.delete(key);
    this.#cachedObjects.set(key, now);
    if (this.#cachedObjects.size > MAX_CACHED_OBJECTS) {
      this.#cachedObjects.delete(this.#cachedObjects.keys().next().value ?? '');
    }
    this.#failures = 0;
  }

  /**
   * Records an attempt without a usable response.
   *
   * @returns the ejection time in milliseconds
   */
  recordFailure(now: number): number {
    const doubled = FIRST_EJECTION_MILLISECONDS * 2 ** this.#failures;
    const milliseconds = Math.min(MAX_EJECTION_MILLISECONDS, doubled);
    this.#failures++;
    this.#ejectedUntil = now + milliseconds;
    return milliseconds;
  }

  /** Records that the target shed a request; it is briefly ejected. */
  recordShed(now: number): void {
    this.#ejectedUntil = Math.max(this.#ejectedUntil, now + SHED_EJECTION_MILLISECONDS);
  }
}
