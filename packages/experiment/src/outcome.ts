import type { Scenario } from './scenario.js';

/** Length of the windows whose worst ones are told. */
const WINDOW_MILLISECONDS = 2_000;
/** Weights of the parts of the worth, as the users' sites have them. */
const WEIGHTS = { day: 0.42, region: 0.3, served: 0.14, windows: 0.084, class: 0.056 };
/** Windows that count as the worst. */
const WORST_WINDOWS = 2;

/** How a caller's request ended, all its tries counted. */
export interface RequestEnd {
  readonly requestClass: string;
  readonly region: string;
  readonly askedAt: number;
  /** From the first try to a whole answer; undefined where none came. */
  readonly milliseconds: number | undefined;
  readonly refusals: number;
}

/** What one play of a scenario came to; shares are from 0 to 1. */
export interface Outcome {
  /** Credit of the day, the worst region, windows and class, and what was served, weighed. */
  readonly worth: number;
  readonly credit: number;
  readonly worstRegion: number;
  readonly worstWindows: number;
  readonly worstClass: number;
  readonly served: number;
  readonly refused: number;
  readonly late: number;
  readonly knownShare: number;
  readonly betweenRegions: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}

/** Earned and owed credit. */
class Credit {
  #earned = 0;
  #owed = 0;

  add(earned: number, owed: number): void {
    this.#earned += earned;
    this.#owed += owed;
  }

  get share(): number {
    return this.#owed === 0 ? 1 : this.#earned / this.#owed;
  }
}

/** Counts a play's requests as they end. */
export class OutcomeCounter {
  sends = 0;
  sendsBetweenRegions = 0;
  knownObjects = 0;
  readonly #scenario: Scenario;
  readonly #day = new Credit();
  readonly #served = new Credit();
  readonly #parts = {
    region: new Map<string, Credit>(),
    window: new Map<string, Credit>(),
    class: new Map<string, Credit>(),
  };
  readonly #durations: number[] = [];
  #requests = 0;
  #refused = 0;
  #late = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
  }

  /** Credit share by window, in the order of time. */
  get windows(): number[] {
    return [...this.#parts.window]
      .sort(([a], [b]) => Number(a) - Number(b))
      .map(([, credit]) => credit.share);
  }

  take({ requestClass, region, askedAt, milliseconds, refusals }: RequestEnd): void {
    const settings = this.#scenario.classes[requestClass];
    if (settings === undefined) {
      throw new Error(`no class ${requestClass}`);
    }
    const { worth, lateWorth, objectiveMilliseconds } = settings;
    const isInTime = milliseconds !== undefined && milliseconds <= objectiveMilliseconds;
    const earned = milliseconds === undefined ? 0 : isInTime ? worth : lateWorth;
    this.#requests++;
    this.#refused += refusals > 0 ? 1 : 0;
    this.#late += milliseconds !== undefined && !isInTime ? 1 : 0;
    this.#served.add(milliseconds === undefined ? 0 : 1, 1);
    if (milliseconds !== undefined) {
      this.#durations.push(milliseconds);
    }
    this.#day.add(earned, worth);
    creditOf(this.#parts.region, region).add(earned, worth);
    creditOf(this.#parts.class, requestClass).add(earned, worth);
    const window = String(Math.floor(askedAt / WINDOW_MILLISECONDS));
    creditOf(this.#parts.window, window).add(earned, worth);
  }

  outcome(): Outcome {
    const sorted = this.#durations.sort((a, b) => a - b);
    const at = (share: number): number => sorted[Math.floor(sorted.length * share)] ?? 0;
    const credit = this.#day.share;
    const worstRegion = least(this.#parts.region);
    const worstClass = least(this.#parts.class);
    const worstWindows = mean([...this.windows].sort((a, b) => a - b).slice(0, WORST_WINDOWS));
    const served = this.#served.share;
    const worth =
      WEIGHTS.day * credit +
      WEIGHTS.region * worstRegion +
      WEIGHTS.served * served +
      WEIGHTS.windows * worstWindows +
      WEIGHTS.class * worstClass;
    return {
      worth,
      credit,
      worstRegion,
      worstWindows,
      worstClass,
      served,
      refused: this.#refused / this.#requests,
      late: this.#late / this.#requests,
      knownShare: this.knownObjects / Math.max(1, this.sends),
      betweenRegions: this.sendsBetweenRegions / Math.max(1, this.sends),
      p50Milliseconds: at(0.5),
      p99Milliseconds: at(0.99),
    };
  }
}

function creditOf(credits: Map<string, Credit>, name: string): Credit {
  const known = credits.get(name) ?? new Credit();
  credits.set(name, known);
  return known;
}

function least(credits: ReadonlyMap<string, Credit>): number {
  return Math.min(1, ...[...credits.values()].map(({ share }) => share));
}

function mean(values: readonly number[]): number {
  return values.length === 0 ? 1 : values.reduce((sum, value) => sum + value, 0) / values.length;
}
