import type { Clock } from '@ferrylock/utils';

/**
 * Crashes of targets under a request, without a response in between, from which the request is a
 * suspect. Two are too few: a request can be at one target that crashes for another reason and be
 * retried at a second. Each further one costs a target.
 */
export const SUSPECT_CRASHES = 3;
/**
 * Responses to a request that clear earlier crashes. More would refuse ordinary requests while
 * targets crash for other reasons.
 */
export const RESPONSES_TO_CLEAR = 2;
/** Retention period of a crash after the last crash under the request or its last arrival. */
const RETENTION_MILLISECONDS = 600_000;
/** Limit on tracked requests; those with the fewest crashes are evicted first. */
const MAX_REQUESTS = 1_024;
/** Limit on crashes of one request; enough for it to stay a suspect if a few are cleared. */
const MAX_CRASHES = 8;
/** Length of the fingerprint prefix used as a filter; few other requests share it. */
export const FINGERPRINT_PREFIX_LENGTH = 7;
/** Time for which a change is included in every report, so that a lost message does no harm. */
const CHANGE_MILLISECONDS = 3_000;
/** Limit on changed requests in one report; those with the most crashes come first. */
const MAX_CHANGES = 16;
/** Limit on unchanged requests in one report, in turn, for hosts that missed the change. */
const MAX_REMINDERS = 2;
/** Minimum crashes of an unchanged request to be reported again. */
const MIN_REMINDER_CRASHES = 2;

/** Crash of a target that had the request. */
export interface SuspectCrash {
  /** Incarnation of the target that crashed. */
  readonly target: string;
  readonly ageMilliseconds: number;
  /** Responses to the request since the crash, up to those needed to clear it. */
  readonly responses: number;
}

/** Request that was at targets when they crashed, as hosts report it to each other. */
export interface SuspectReport {
  readonly fingerprint: string;
  readonly crashes: readonly SuspectCrash[];
}

interface ObservedCrash {
  at: number;
  responses: number;
}

interface TrackedRequest {
  readonly crashes: Map<string, ObservedCrash>;
  /** Crashes that are not cleared. */
  counted: number;
  changedAt: number;
  /** Time of the last crash or arrival. */
  activeAt: number;
  /** Tells whether the last change was observed here rather than reported by a peer. */
  isOwnChange: boolean;
}

/**
 * Requests that were at targets when they crashed, by fingerprint, merged from the observations of
 * all hosts. Merging is commutative and idempotent: crashes are identified by the incarnation of
 * the target, and are only ever added or cleared.
 */
export class SuspectTable {
  readonly #clock: Clock;
  readonly #requests = new Map<string, TrackedRequest>();
  /** Number of requests by fingerprint prefix. */
  readonly #prefixes = new Map<string, number>();
  #reminded = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Fingerprints of suspect requests. */
  get suspects(): string[] {
    return [...this.#requests.keys()].filter((fingerprint) => this.isSuspect(fingerprint));
  }

  /** Tells whether any known fingerprint has this prefix. */
  hasPrefix(prefix: string): boolean {
    return this.#prefixes.has(prefix);
  }

  has(fingerprint: string): boolean {
    return this.#requests.has(fingerprint);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#countedOf(fingerprint) >= SUSPECT_CRASHES;
  }

  /** Targets that crashed under a request and whose crash is not cleared. */
  crashesOf(fingerprint: string): string[] {
    const crashes = this.#requests.get(fingerprint)?.crashes ?? [];
    return [...crashes].flatMap(([target, crash]) => (isCleared(crash) ? [] : [target]));
  }

  /** Time of the last known crash under a request. */
  lastCrashAt(fingerprint: string): number {
    const crashes = this.#requests.get(fingerprint)?.crashes.values() ?? [];
    return [...crashes].reduce((latest, { at }) => Math.max(latest, at), -Infinity);
  }

  /** Records a crash of a target that had the request; returns whether it is new. */
  recordCrash(fingerprint: string, target: string): boolean {
    const crash = { target, ageMilliseconds: 0, responses: 0 };
    return this.#merge({ fingerprint, crashes: [crash] }, true);
  }

  /**
   * Records a response to the request: a target ran it to the end, so earlier crashes may have had
   * another cause.
   *
   * @param responses - number of responses that it counts as
   */
  recordResponse(fingerprint: string, responses = 1): boolean {
    return this.#clear(fingerprint, responses, () => true);
  }

  /** Records that a target presumed to have crashed is alive. */
  recordAlive(target: string): void {
    for (const fingerprint of this.#requests.keys()) {
      this.#clear(fingerprint, RESPONSES_TO_CLEAR, (crashed) => crashed === target);
    }
  }

  /** Time of the last crash under the request or of its last arrival. */
  lastActivityAt(fingerprint: string): number {
    return this.#requests.get(fingerprint)?.activeAt ?? -Infinity;
  }

  /** Records that the request arrived again. */
  recordArrival(fingerprint: string): void {
    const tracked = this.#requests.get(fingerprint);
    if (tracked !== undefined) {
      tracked.activeAt = this.#clock.now();
    }
  }

  /** Merges the report of a peer; returns whether a request with enough crashes changed. */
  merge(reports: readonly SuspectReport[]): boolean {
    const changed = reports.filter((suspect) => this.#merge(suspect, false));
    return changed.some(({ fingerprint }) => this.#countedOf(fingerprint) >= MIN_REMINDER_CRASHES);
  }

  /** Returns the requests to report to peers now. */
  report(which: 'own' | 'all'): SuspectReport[] {
    const now = this.#clock.now();
    const hasChanged = ({ changedAt, isOwnChange }: TrackedRequest): boolean =>
      now - changedAt < CHANGE_MILLISECONDS && (isOwnChange || which === 'all');
    const changed: string[] = [];
    const reminders: string[] = [];
    for (const [fingerprint, tracked] of this.#requests) {
      if (hasChanged(tracked)) {
        changed.push(fingerprint);
      } else if (tracked.counted >= MIN_REMINDER_CRASHES) {
        reminders.push(fingerprint);
      }
    }
    const first = this.#strongestFirst(changed).slice(0, MAX_CHANGES);
    return [...first, ...this.#nextReminders(reminders)].map((fingerprint) =>
      this.#describe(fingerprint, now),
    );
  }

  /** Removes expired requests. Called several times per second. */
  sweep(): void {
    const oldest = this.#clock.now() - RETENTION_MILLISECONDS;
    for (const [fingerprint, { activeAt }] of this.#requests) {
      if (activeAt < oldest) {
        this.#forget(fingerprint);
      }
    }
  }

  #countedOf(fingerprint: string): number {
    return this.#requests.get(fingerprint)?.counted ?? 0;
  }

  #merge({ fingerprint, crashes }: SuspectReport, isOwnChange: boolean): boolean {
    const now = this.#clock.now();
    const recent = crashes.filter(
      ({ ageMilliseconds }) => ageMilliseconds < RETENTION_MILLISECONDS,
    );
    const isKnown = this.#requests.has(fingerprint);
    if (recent.length === 0 || (!isKnown && !this.#makeRoom(recent.length))) {
      return false;
    }
    const tracked = this.#requests.get(fingerprint) ?? this.#track(fingerprint, isOwnChange);
    const changes = recent.filter((crash) => mergeCrash(tracked, crash, now));
    if (changes.length > 0) {
      tracked.counted = countCrashes(tracked);
      tracked.changedAt = now;
      tracked.isOwnChange = isOwnChange;
    }
    return changes.length > 0;
  }

  #track(fingerprint: string, isOwnChange: boolean): TrackedRequest {
    const tracked = {
      crashes: new Map<string, ObservedCrash>(),
      counted: 0,
      changedAt: this.#clock.now(),
      activeAt: -Infinity,
      isOwnChange,
    };
    this.#requests.set(fingerprint, tracked);
    const prefix = prefixOf(fingerprint);
    this.#prefixes.set(prefix, (this.#prefixes.get(prefix) ?? 0) + 1);
    return tracked;
  }

  #forget(fingerprint: string): void {
    this.#requests.delete(fingerprint);
    const prefix = prefixOf(fingerprint);
    const count = (this.#prefixes.get(prefix) ?? 0) - 1;
    if (count > 0) {
      this.#prefixes.set(prefix, count);
    } else {
      this.#prefixes.delete(prefix);
    }
  }

  #clear(fingerprint: string, responses: number, isAffected: (target: string) => boolean): boolean {
    const tracked = this.#requests.get(fingerprint);
    const affected = [...(tracked?.crashes ?? [])].filter(
      ([target, crash]) => !isCleared(crash) && isAffected(target),
    );
    if (tracked === undefined || affected.length === 0) {
      return false;
    }
    for (const [, crash] of affected) {
      crash.responses += responses;
    }
    tracked.counted = countCrashes(tracked);
    tracked.changedAt = this.#clock.now();
    tracked.isOwnChange = true;
    return true;
  }

  /** Makes room for a request with this many crashes; returns false if there is none. */
  #makeRoom(crashes: number): boolean {
    if (this.#requests.size < MAX_REQUESTS) {
      return true;
    }
    const [weakest = '', { counted = 0 } = {}] = this.#weakest ?? [];
    if (counted > crashes) {
      return false;
    }
    this.#forget(weakest);
    return true;
  }

  /** Request with the fewest crashes; of equals, the least recently changed. */
  get #weakest(): [string, TrackedRequest] | undefined {
    let weakest: [string, TrackedRequest] | undefined;
    for (const entry of this.#requests) {
      if (weakest === undefined || isWeaker(entry[1], weakest[1])) {
        weakest = entry;
      }
    }
    return weakest;
  }

  /** Orders by descending number of crashes, then by the latest change. */
  #strongestFirst(fingerprints: readonly string[]): string[] {
    const ranked = fingerprints.map((fingerprint) => ({
      fingerprint,
      crashes: this.#countedOf(fingerprint),
      changedAt: this.#requests.get(fingerprint)?.changedAt ?? 0,
    }));
    ranked.sort((a, b) => b.crashes - a.crashes || b.changedAt - a.changedAt);
    return ranked.map(({ fingerprint }) => fingerprint);
  }

  #nextReminders(fingerprints: readonly string[]): string[] {
    const count = Math.min(MAX_REMINDERS, fingerprints.length);
    const first = this.#reminded;
    this.#reminded = fingerprints.length === 0 ? 0 : (first + count) % fingerprints.length;
    return Array.from({ length: count }, (_, index) => {
      const position = (first + index) % fingerprints.length;
      return fingerprints[position] ?? '';
    });
  }

  #describe(fingerprint: string, now: number): SuspectReport {
    const crashes = [...(this.#requests.get(fingerprint)?.crashes ?? [])];
    return {
      fingerprint,
      crashes: crashes.map(([target, { at, responses }]) => ({
        target,
        ageMilliseconds: now - at,
        responses,
      })),
    };
  }
}

function isWeaker(one: TrackedRequest, other: TrackedRequest): boolean {
  return (
    one.counted < other.counted ||
    (one.counted === other.counted && one.changedAt < other.changedAt)
  );
}

function prefixOf(fingerprint: string): string {
  return fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH);
}

/** Adds or clears a crash; returns whether anything changed. */
function mergeCrash(tracked: TrackedRequest, crash: SuspectCrash, now: number): boolean {
  const { target, ageMilliseconds, responses } = crash;
  const { crashes } = tracked;
  const known = crashes.get(target);
  if (known !== undefined) {
    const hasChanged = responses > known.responses;
    known.responses = Math.max(known.responses, responses);
    // Reports are delayed: the earliest time is the most accurate.
    known.at = Math.min(known.at, now - ageMilliseconds);
    return hasChanged;
  }
  if (crashes.size >= MAX_CRASHES && !makeRoomFor(crash, crashes)) {
    return false;
  }
  const at = now - ageMilliseconds;
  crashes.set(target, { at, responses });
  tracked.activeAt = Math.max(tracked.activeAt, at);
  return true;
}

/** Replaces a cleared crash with a new one; crashes beyond the limit are dropped. */
function makeRoomFor(crash: SuspectCrash, crashes: Map<string, ObservedCrash>): boolean {
  const [target] = [...crashes].find(([, known]) => isCleared(known)) ?? [];
  return !isCleared(crash) && target !== undefined && crashes.delete(target);
}

function isCleared({ responses }: Pick<ObservedCrash, 'responses'>): boolean {
  return responses >= RESPONSES_TO_CLEAR;
}

function countCrashes({ crashes }: TrackedRequest): number {
  return [...crashes.values()].filter((crash) => !isCleared(crash)).length;
}
