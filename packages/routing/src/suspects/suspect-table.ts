import type { Clock } from '@ferrylock/utils';

/**
 * Targets that end under a request, without an answer to it in between, before it is turned away. Two are too few:
 * a look-up that happens to be at one target that ends is sent to a second at once, and where several end at the
 * same moment both may. Each further one costs a target.
 */
export const SUSPECT_CRASHES = 3;
/**
 * Answers to a request that take back the ends before them. With one, a request that ends targets in a quarter of its
 * runs ended 124 at 12 hosts (three times 30 s), with two 92, with three 85; where a third of the targets crash every
 * 3 s, 12, 22 and 69 of 31,000 ordinary requests were turned away. In an emulated fleet.
 */
export const RESPONSES_TO_CLEAR = 2;
/** How long an end counts after the request was last at a target that ended, or was last asked for. */
const KEPT_MILLISECONDS = 600_000;
/**
 * Requests that are watched: those that were at a target when it ended, some ten for each end. Some 150 KB; where
 * there are more, those with the fewest ends are forgotten, the longest ago first.
 */
const MOST_REQUESTS = 1_024;
/** Ends that are kept of one request: enough for it to stay a suspect where a few are taken back. */
const MOST_ENDS = 8;
/** Characters at the beginning of a fingerprint that most other requests do not share. */
export const FINGERPRINT_PREFIX_LENGTH = 7;
/** How long news is told with each message: several rounds, so that one may be lost. */
const NEWS_MILLISECONDS = 3_000;
/** Requests whose news goes with one message, those with most ends first: 3 KB at most, mostly under 1 KB. */
const MOST_NEWS = 16;
/** Older ones with two ends or more that go with one message, in turn, for hosts that missed the news. */
const MOST_REMINDERS = 2;
/** Fewest ends of a request of which hosts are reminded. */
const FEWEST_REMINDED = 2;

/** The end of a target that had a request. */
export interface SuspectCrash {
  /** The start of the target that ended. */
  readonly target: string;
  readonly ageMilliseconds: number;
  /** Answers to the request after it, as far as they count; enough of them take the end back. */
  readonly responses: number;
}

/** A request that was at targets when they ended, as hosts tell one another. */
export interface SuspectReport {
  readonly fingerprint: string;
  readonly crashes: readonly SuspectCrash[];
}

interface SeenEnd {
  at: number;
  responses: number;
}

interface WatchedRequest {
  readonly ends: Map<string, SeenEnd>;
  /** Ends that are not taken back. */
  counted: number;
  changedAt: number;
  /** Its last end, or when it was last asked for. */
  keptFrom: number;
  /** Whether what changed last was seen here, and not heard of. */
  isOwnNews: boolean;
}

/**
 * Requests that were at targets when they ended, by their fingerprints, with what hosts saw of them together. Two
 * hosts' knowledge adds up to the same in whatever order it comes and however often: ends are told by the target's
 * start, and are only ever added or taken back.
 */
export class SuspectTable {
  readonly #clock: Clock;
  readonly #requests = new Map<string, WatchedRequest>();
  /** Requests by the beginning of their fingerprints. */
  readonly #heads = new Map<string, number>();
  #reminded = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Fingerprints of requests that are suspects. */
  get suspects(): string[] {
    return [...this.#requests.keys()].filter((fingerprint) => this.isSuspect(fingerprint));
  }

  /** Whether some fingerprint that is known begins like this. */
  hasPrefix(head: string): boolean {
    return this.#heads.has(head);
  }

  has(fingerprint: string): boolean {
    return this.#requests.has(fingerprint);
  }

  isSuspect(fingerprint: string): boolean {
    return this.#countedOf(fingerprint) >= SUSPECT_CRASHES;
  }

  /** Targets that ended under a request and that no answer has taken back since. */
  crashesOf(fingerprint: string): string[] {
    const ends = this.#requests.get(fingerprint)?.ends ?? [];
    return [...ends].flatMap(([target, end]) => (isTakenBack(end) ? [] : [target]));
  }

  /** When a target last ended under a request, as far as is known here. */
  lastCrashAt(fingerprint: string): number {
    const ends = this.#requests.get(fingerprint)?.ends.values() ?? [];
    return [...ends].reduce((latest, { at }) => Math.max(latest, at), -Infinity);
  }

  /** A target ended that had the request; tells whether that was news. */
  recordCrash(fingerprint: string, target: string): boolean {
    const end = { target, ageMilliseconds: 0, responses: 0 };
    return this.#merge({ fingerprint, crashes: [end] }, true);
  }

  /**
   * A target ran the request to its answer, so that the targets before it may have ended for another reason.
   *
   * @param answers - for how many answers it counts
   */
  recordResponse(fingerprint: string, answers = 1): boolean {
    return this.#takeBack(fingerprint, answers, () => true);
  }

  /** A target that was taken to have ended lives. */
  recordAlive(target: string): void {
    for (const fingerprint of this.#requests.keys()) {
      this.#takeBack(fingerprint, RESPONSES_TO_CLEAR, (ended) => ended === target);
    }
  }

  /** When a target last ended under a request, or it was last asked for. */
  lastActivityAt(fingerprint: string): number {
    return this.#requests.get(fingerprint)?.keptFrom ?? -Infinity;
  }

  /** It is still asked for. */
  recordArrival(fingerprint: string): void {
    const watched = this.#requests.get(fingerprint);
    if (watched !== undefined) {
      watched.keptFrom = this.#clock.now();
    }
  }

  /** Takes what another host tells; tells whether there was news of a request with two ends or more. */
  merge(told: readonly SuspectReport[]): boolean {
    const news = told.filter((suspect) => this.#merge(suspect, false));
    return news.some(({ fingerprint }) => this.#countedOf(fingerprint) >= FEWEST_REMINDED);
  }

  /** What to tell others now. */
  report(which: 'own' | 'all'): SuspectReport[] {
    const now = this.#clock.now();
    const isNews = ({ changedAt, isOwnNews }: WatchedRequest): boolean =>
      now - changedAt < NEWS_MILLISECONDS && (isOwnNews || which === 'all');
    const news: string[] = [];
    const reminders: string[] = [];
    for (const [fingerprint, watched] of this.#requests) {
      if (isNews(watched)) {
        news.push(fingerprint);
      } else if (watched.counted >= FEWEST_REMINDED) {
        reminders.push(fingerprint);
      }
    }
    const first = this.#strongestFirst(news).slice(0, MOST_NEWS);
    return [...first, ...this.#nextReminders(reminders)].map((fingerprint) =>
      this.#describe(fingerprint, now),
    );
  }

  /** To be called a few times a second: forgets what is long over. */
  sweep(): void {
    const oldest = this.#clock.now() - KEPT_MILLISECONDS;
    for (const [fingerprint, { keptFrom }] of this.#requests) {
      if (keptFrom < oldest) {
        this.#forget(fingerprint);
      }
    }
  }

  #countedOf(fingerprint: string): number {
    return this.#requests.get(fingerprint)?.counted ?? 0;
  }

  #merge({ fingerprint, crashes: ends }: SuspectReport, isOwnNews: boolean): boolean {
    const now = this.#clock.now();
    const recent = ends.filter(({ ageMilliseconds }) => ageMilliseconds < KEPT_MILLISECONDS);
    const isKnown = this.#requests.has(fingerprint);
    if (recent.length === 0 || (!isKnown && !this.#makeRoom(recent.length))) {
      return false;
    }
    const watched = this.#requests.get(fingerprint) ?? this.#watch(fingerprint, isOwnNews);
    const changes = recent.filter((end) => mergeEnd(watched, end, now));
    if (changes.length > 0) {
      watched.counted = countEnds(watched);
      watched.changedAt = now;
      watched.isOwnNews = isOwnNews;
    }
    return changes.length > 0;
  }

  #watch(fingerprint: string, isOwnNews: boolean): WatchedRequest {
    const watched = {
      ends: new Map<string, SeenEnd>(),
      counted: 0,
      changedAt: this.#clock.now(),
      keptFrom: -Infinity,
      isOwnNews,
    };
    this.#requests.set(fingerprint, watched);
    const head = headOf(fingerprint);
    this.#heads.set(head, (this.#heads.get(head) ?? 0) + 1);
    return watched;
  }

  #forget(fingerprint: string): void {
    this.#requests.delete(fingerprint);
    const head = headOf(fingerprint);
    const count = (this.#heads.get(head) ?? 0) - 1;
    if (count > 0) {
      this.#heads.set(head, count);
    } else {
      this.#heads.delete(head);
    }
  }

  #takeBack(fingerprint: string, answers: number, isMeant: (target: string) => boolean): boolean {
    const watched = this.#requests.get(fingerprint);
    const meant = [...(watched?.ends ?? [])].filter(
      ([target, end]) => !isTakenBack(end) && isMeant(target),
    );
    if (watched === undefined || meant.length === 0) {
      return false;
    }
    for (const [, end] of meant) {
      end.responses += answers;
    }
    watched.counted = countEnds(watched);
    watched.changedAt = this.#clock.now();
    watched.isOwnNews = true;
    return true;
  }

  /** Whether there is room for one with so many ends, if need be in place of the weakest. */
  #makeRoom(ends: number): boolean {
    if (this.#requests.size < MOST_REQUESTS) {
      return true;
    }
    const [weakest = '', { counted = 0 } = {}] = this.#weakest ?? [];
    if (counted > ends) {
      return false;
    }
    this.#forget(weakest);
    return true;
  }

  /** The request with the fewest ends; of equals the one that nothing has been heard of for the longest time. */
  get #weakest(): [string, WatchedRequest] | undefined {
    let weakest: [string, WatchedRequest] | undefined;
    for (const entry of this.#requests) {
      if (weakest === undefined || isWeaker(entry[1], weakest[1])) {
        weakest = entry;
      }
    }
    return weakest;
  }

  /** Those with most ends first; equals, the latest first. */
  #strongestFirst(fingerprints: readonly string[]): string[] {
    const ranked = fingerprints.map((fingerprint) => ({
      fingerprint,
      ends: this.#countedOf(fingerprint),
      changedAt: this.#requests.get(fingerprint)?.changedAt ?? 0,
    }));
    ranked.sort((a, b) => b.ends - a.ends || b.changedAt - a.changedAt);
    return ranked.map(({ fingerprint }) => fingerprint);
  }

  #nextReminders(fingerprints: readonly string[]): string[] {
    const count = Math.min(MOST_REMINDERS, fingerprints.length);
    const first = this.#reminded;
    this.#reminded = fingerprints.length === 0 ? 0 : (first + count) % fingerprints.length;
    return Array.from({ length: count }, (_, index) => {
      const place = (first + index) % fingerprints.length;
      return fingerprints[place] ?? '';
    });
  }

  #describe(fingerprint: string, now: number): SuspectReport {
    const ends = [...(this.#requests.get(fingerprint)?.ends ?? [])];
    return {
      fingerprint,
      crashes: ends.map(([target, { at, responses: answers }]) => ({
        target,
        ageMilliseconds: now - at,
        responses: answers,
      })),
    };
  }
}

function isWeaker(one: WatchedRequest, other: WatchedRequest): boolean {
  return (
    one.counted < other.counted ||
    (one.counted === other.counted && one.changedAt < other.changedAt)
  );
}

function headOf(fingerprint: string): string {
  return fingerprint.slice(0, FINGERPRINT_PREFIX_LENGTH);
}

/** Adds an end, or takes it back; tells whether either was new. */
function mergeEnd(watched: WatchedRequest, end: SuspectCrash, now: number): boolean {
  const { target, ageMilliseconds, responses: answers } = end;
  const { ends } = watched;
  const known = ends.get(target);
  if (known !== undefined) {
    const isNews = answers > known.responses;
    known.responses = Math.max(known.responses, answers);
    // News takes time on its way: the earliest that is heard of is the truest, however often it is passed on.
    known.at = Math.min(known.at, now - ageMilliseconds);
    return isNews;
  }
  if (ends.size >= MOST_ENDS && !makeRoomFor(end, ends)) {
    return false;
  }
  const at = now - ageMilliseconds;
  ends.set(target, { at, responses: answers });
  watched.keptFrom = Math.max(watched.keptFrom, at);
  return true;
}

/** Puts an end that counts in the place of one that was taken back; more than enough to be a suspect are not kept. */
function makeRoomFor(end: SuspectCrash, ends: Map<string, SeenEnd>): boolean {
  const [target] = [...ends].find(([, known]) => isTakenBack(known)) ?? [];
  return !isTakenBack(end) && target !== undefined && ends.delete(target);
}

function isTakenBack({ responses: answers }: Pick<SeenEnd, 'responses'>): boolean {
  return answers >= RESPONSES_TO_CLEAR;
}

function countEnds({ ends }: WatchedRequest): number {
  return [...ends.values()].filter((end) => !isTakenBack(end)).length;
}
