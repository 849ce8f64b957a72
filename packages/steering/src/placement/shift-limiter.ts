import type { Clock } from '@ferrylock/utils';

/** Requests over which shares of traffic are measured: fewer are noise, more are late. */
const MEASURED_REQUESTS = 30;
const SHORTEST_MEASURE_MILLISECONDS = 1_000;
const LONGEST_MEASURE_MILLISECONDS = 10_000;
/** Seconds of the cap by which the present shares may be ahead of the reference. */
const AHEAD_SECONDS = 1;
/** Below this much traffic in the measured time, one request is no shift. */
const SMALLEST_COUNT = 1;

/** Shares of a service's traffic by region, 0 to 1 each; what was refused belongs to none. */
export type RegionShares = Readonly<Record<string, number>>;

/**
 * Bounds how fast one service's traffic moves between regions. It holds a reference of where the
 * traffic is, which follows the traffic no faster than the cap, and lets requests into a region only
 * while the region is not ahead of the reference. Fail-over and the return from it are shifts like
 * any other: what the cap does not let move is refused.
 *
 * Every daemon bounds its own traffic, so that the traffic of all together keeps to the cap as well.
 * In any window of w seconds the share of a region rises by at most cap × (w + 1) + cap × (w + 1) × m / w,
 * where m is the time in seconds over which shares are measured: 1 for a service of 30 requests a
 * second and more at a daemon.
 */
export class ShiftLimiter {
  readonly #counts = new Map<string, number>();
  readonly #reference = new Map<string, number>();
  #demand = 0;
  /** Time constant of the counts. */
  #measureMilliseconds = SHORTEST_MEASURE_MILLISECONDS;
  #updatedAt: number;
  #seeded = false;

  /** @param percentPerSecond - the cap; undefined where the operator has set none */
  constructor(
    readonly clock: Clock,
    public percentPerSecond: number | undefined,
  ) {
    this.#updatedAt = clock.now();
  }

  /** Whether it knows where the traffic is; until then it lets everything pass. */
  get isSeeded(): boolean {
    return this.#seeded;
  }

  /** Starts from the placement of the fleet rather than from none. */
  seed(shares: RegionShares): void {
    this.#seeded = true;
    for (const [region, share] of Object.entries(shares)) {
      this.#reference.set(region, share);
    }
  }

  /** Shares of the traffic lately. */
  shares(): RegionShares {
    this.#update();
    return Object.fromEntries(
      [...this.#counts].map(([region, count]) => [region, this.#shareOf(count)]),
    );
  }

  /** Requests asked for lately, per second. */
  get demandPerSecond(): number {
    this.#update();
    return (this.#demand * 1_000) / this.#measureMilliseconds;
  }

  /** Counts a request that is asked for, whether it is let through or not. */
  recordDemand(): void {
    this.#update();
    this.#demand++;
  }

  /** Whether one more request may go to the region now. */
  mayEnter(region: string): boolean {
    if (this.percentPerSecond === undefined || !this.#seeded) {
      return true;
    }
    this.#update();
    const count = this.#counts.get(region) ?? 0;
    const reference = this.#reference.get(region) ?? 0;
    const ahead = this.#capPerSecond * AHEAD_SECONDS;
    return count < SMALLEST_COUNT || this.#shareOf(count) < reference + ahead;
  }

  /** Counts a request that goes to the region. */
  recordEntry(region: string): void {
    this.#counts.set(region, (this.#counts.get(region) ?? 0) + 1);
  }

  get #capPerSecond(): number {
    return (this.percentPerSecond ?? 100) / 100;
  }

  #shareOf(count: number): number {
    return this.#demand <= 0 ? 0 : Math.min(1, count / this.#demand);
  }

  #update(): void {
    const now = this.clock.now();
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) {
      return;
    }
    this.#updatedAt = now;
    this.#scaleCounts(Math.exp(-elapsed / this.#measureMilliseconds));
    this.#adaptMeasure();
    this.#followTraffic((this.#capPerSecond * elapsed) / 1_000);
  }

  /** Measures a quiet service over a longer time than a busy one. */
  #adaptMeasure(): void {
    const perMillisecond = this.#demand / this.#measureMilliseconds;
    const wanted = Math.min(
      LONGEST_MEASURE_MILLISECONDS,
      Math.max(SHORTEST_MEASURE_MILLISECONDS, MEASURED_REQUESTS / perMillisecond),
    );
    this.#scaleCounts(wanted / this.#measureMilliseconds);
    this.#measureMilliseconds = wanted;
  }

  #scaleCounts(factor: number): void {
    this.#demand *= factor;
    for (const [region, count] of this.#counts) {
      this.#counts.set(region, count * factor);
    }
  }

  /** Moves the reference towards the present shares: up and down by at most the step in all. */
  #followTraffic(step: number): void {
    const gaps = [...new Set([...this.#counts.keys(), ...this.#reference.keys()])].map((region) => {
      const present = this.#shareOf(this.#counts.get(region) ?? 0);
      return { region, gap: present - (this.#reference.get(region) ?? 0) };
    });
    const rise = gaps.reduce((sum, { gap }) => sum + Math.max(0, gap), 0);
    const fall = gaps.reduce((sum, { gap }) => sum + Math.max(0, -gap), 0);
    for (const { region, gap } of gaps) {
      const total = gap > 0 ? rise : fall;
      const share = total <= step ? 1 : step / total;
      this.#reference.set(region, (this.#reference.get(region) ?? 0) + gap * share);
    }
  }
}
