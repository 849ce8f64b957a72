import { FakeClock } from '@ferrylock/test-utils';
import { pickOne, randomIndex, SeededRandom } from '@ferrylock/utils';
import { HostShare, RequestRate, RetryBudget } from '../src/index.js';
import type { RetryBudgetSettings } from '../src/index.js';

export const SETTINGS: RetryBudgetSettings = {
  ratio: 0.2,
  slack: 64,
  windowMilliseconds: 10_000,
};
export const STEP_MILLISECONDS = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const STEPS_PER_WINDOW = SETTINGS.windowMilliseconds / STEP_MILLISECONDS;
/** Groups of callers for each host, which move as a whole. */
const GROUPS_PER_HOST = 8;
/** Repeats that one failing request wants. */
const WANTED_REPEATS = 2;
/** Age of what a host hears of the others' requests. */
const STEPS_PER_REPORT = 10;

/** Clock of one host, which stands still while the host is suspended. */
class HostClock extends FakeClock {
  #offset = 0;
  #suspendedAt: number | undefined;

  constructor(readonly fleet: { readonly time: number }) {
    super();
  }

  override now(): number {
    return (this.#suspendedAt ?? this.fleet.time) - this.#offset;
  }

  get isSuspended(): boolean {
    return this.#suspendedAt !== undefined;
  }

  suspend(): void {
    this.#suspendedAt ??= this.fleet.time;
  }

  resume(): void {
    this.#offset += this.fleet.time - (this.#suspendedAt ?? this.fleet.time);
    this.#suspendedAt = undefined;
  }
}

/** One process of an entry host. */
interface EmulatedHost {
  readonly clock: HostClock;
  readonly budget: RetryBudget;
  readonly rate: RequestRate;
  readonly share: HostShare;
  /** Number of hosts that it hears, itself included. */
  heardHosts: number;
}

export interface RepeatFleetOptions {
  readonly hosts: number;
  /** Requests of all callers together. */
  readonly requestsPerSecond: number;
  readonly seed: number;
}

/** Requests that callers sent and repeats that hosts granted in one step. */
interface StepCounts {
  requests: number;
  repeats: number;
}

/** Retry budgets of a fleet of entry hosts, in virtual time. The counts are those of the whole fleet. */
export class RepeatFleet {
  time = 0;
  /** Fraction of the sends that fail. */
  failing = 0;
  /** Factor of the number of requests. */
  load = 1;
  readonly steps: StepCounts[] = [];
  readonly random: SeededRandom;
  readonly #options: RepeatFleetOptions;
  /** Undefined while a host is down. */
  readonly #hosts: (EmulatedHost | undefined)[] = [];
  /** Index of the host that each group of callers uses. */
  readonly #groups: number[];
  #requests = 0;
  /** Requests per second of the whole fleet, by step. */
  readonly #reports: number[] = [];

  constructor(options: RepeatFleetOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed);
    for (let index = 0; index < options.hosts; index++) {
      this.start(index);
    }
    this.#groups = Array.from(
      { length: GROUPS_PER_HOST * options.hosts },
      (_, group) => group % options.hosts,
    );
  }

  get size(): number {
    return this.#hosts.length;
  }

  /** Starts a host, or a new process of one. */
  start(index: number, knownHosts = this.#options.hosts): void {
    const clock = new HostClock(this);
    const budget = new RetryBudget({ clock, bound: SETTINGS, name: `host ${index}` });
    const share = new HostShare(clock);
    share.recordRegistered(knownHosts);
    const rate = new RequestRate(clock);
    this.#hosts[index] = { clock, budget, rate, share, heardHosts: knownHosts };
  }

  /** Ends a process; its callers turn to other hosts. */
  kill(index: number): void {
    this.#hosts[index] = undefined;
    this.#spreadCallers();
  }

  suspend(index: number): void {
    this.#hosts[index]?.clock.suspend();
  }

  resume(index: number): void {
    this.#hosts[index]?.clock.resume();
  }

  /** Sets how many hosts each host knows to be registered, and hears. */
  setKnownHosts(count: number): void {
    for (const host of this.#hosts) {
      if (host !== undefined) {
        host.share.recordRegistered(count);
        host.heardHosts = count;
      }
    }
  }

  /** Sets how many hosts each host hears, of those that are registered. */
  setHeardHosts(count: number): void {
    for (const host of this.#hosts) {
      if (host !== undefined) {
        host.heardHosts = count;
      }
    }
  }

  /** Moves all callers to some hosts. */
  moveCallers(isUsed: (index: number) => boolean): void {
    const used = this.#hosts.flatMap((host, index) =>
      host !== undefined && isUsed(index) ? [index] : [],
    );
    for (const [group] of this.#groups.entries()) {
      this.#groups[group] = pickOne(this.random, used) ?? this.#groups[group] ?? 0;
    }
  }

  #spreadCallers(): void {
    const live = this.#hosts.flatMap((host, index) => (host === undefined ? [] : [index]));
    for (const [group, index] of this.#groups.entries()) {
      if (this.#hosts[index] === undefined) {
        this.#groups[group] = pickOne(this.random, live) ?? index;
      }
    }
  }

  /** Lets time pass, with requests that come at random times. */
  run(milliseconds: number): void {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.#runStep();
    }
  }

  #runStep(): void {
    const counts: StepCounts = { requests: 0, repeats: 0 };
    this.steps.push(counts);
    this.#updateShares();
    const perStep =
      (this.load * this.#options.requestsPerSecond * STEP_MILLISECONDS) / MILLISECONDS_PER_SECOND;
    this.#requests += perStep * 2 * this.random.next();
    for (; this.#requests >= 1; this.#requests--) {
      counts.requests++;
      counts.repeats += this.#request();
    }
    this.time += STEP_MILLISECONDS;
  }

  /** Returns the number of repeats of one request. */
  #request(): number {
    const index = this.#groups[randomIndex(this.random, this.#groups.length)] ?? 0;
    const host = this.#hosts[index];
    if (host === undefined || host.clock.isSuspended) {
      return 0;
    }
    host.budget.recordRequest();
    host.rate.record();
    let repeats = 0;
    while (
      repeats < WANTED_REPEATS &&
      this.random.next() < this.failing &&
      host.budget.tryAcquire()
    ) {
      repeats++;
    }
    return repeats;
  }

  /** Tells each host its part, by what it hears of the others' requests. */
  #updateShares(): void {
    const rates = this.#hosts.map((host) => host?.rate.perSecond ?? 0);
    this.#reports.push(rates.reduce((sum, rate) => sum + rate, 0));
    const reported = this.#reports.at(-STEPS_PER_REPORT) ?? 0;
    for (const [index, host] of this.#hosts.entries()) {
      if (host !== undefined) {
        const own = rates[index] ?? 0;
        const heard = own + ((host.heardHosts - 1) / this.size) * reported;
        host.budget.slackShare = host.share.of({ own, heard, heardHosts: host.heardHosts });
      }
    }
  }

  /** Repeats in the worst window, as a part of what is allowed for it. */
  get worstUse(): number {
    const starts = this.steps.map((_, start) => start);
    return Math.max(...starts.map((start) => this.useFrom(start)));
  }

  /**
   * Repeats in the window from a step on, as a part of what is allowed: by the requests in that window,
   * in the one before it, or in the one half a window before it.
   */
  useFrom(start: number): number {
    const sum = (name: keyof StepCounts, from: number): number =>
      this.steps
        .slice(Math.max(0, from), Math.max(0, from + STEPS_PER_WINDOW))
        .reduce((total, counts) => total + counts[name], 0);
    const windows = [start, start - STEPS_PER_WINDOW, start - STEPS_PER_WINDOW / 2];
    const requests = Math.max(...windows.map((from) => sum('requests', from)));
    return sum('repeats', start) / (SETTINGS.ratio * requests + SETTINGS.slack);
  }

  /** Part of what is allowed that hosts granted in the last window. */
  get lastUse(): number {
    return this.useFrom(this.steps.length - STEPS_PER_WINDOW);
  }
}
