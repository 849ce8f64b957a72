import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { ShiftLimiter } from '../../src/index.js';

const CAP_PERCENT = 5;
const RATE = 500;

interface Run {
  readonly clock: FakeClock;
  readonly limiter: ShiftLimiter;
  /** Shares of what was let through, second by second. */
  readonly bySecond: Map<string, number>[];
  refused: number;
}

function makeRun(percentPerSecond: number | undefined = CAP_PERCENT): Run {
  const clock = new FakeClock();
  return { clock, limiter: new ShiftLimiter(clock, percentPerSecond), bySecond: [], refused: 0 };
}

/** Sends requests that would go to the first region of their list that lets them in. */
async function send(run: Run, seconds: number, wish: (draw: number) => string[]): Promise<void> {
  const random = new SeededRandom(3);
  for (let second = 0; second < seconds; second++) {
    const counts = new Map<string, number>();
    for (let index = 0; index < RATE; index++) {
      await run.clock.advance(1_000 / RATE);
      run.limiter.recordDemand();
      const region = wish(random.next()).find((name) => run.limiter.mayEnter(name));
      if (region === undefined) {
        run.refused++;
      } else {
        run.limiter.recordEntry(region);
        counts.set(region, (counts.get(region) ?? 0) + 1 / RATE);
      }
    }
    run.bySecond.push(counts);
  }
}

function highestShare(run: Run, region: string, from: number, to: number): number {
  return Math.max(...run.bySecond.slice(from, to).map((shares) => shares.get(region) ?? 0));
}

const even = (draw: number): string[] => (draw < 0.5 ? ['a'] : ['b']);

describe('ShiftLimiter', () => {
  it('lets steady traffic pass, noise and all', async () => {
    const run = makeRun();
    run.limiter.seed({ a: 0.5, b: 0.5 });
    await send(run, 20, even);
    expect(run.refused).toBeLessThan(RATE * 20 * 0.01);
  });

  it('lets fail-over move no faster than the cap, and refuses the rest', async () => {
    const run = makeRun();
    run.limiter.seed({ a: 0.5, b: 0.5 });
    await send(run, 5, even);
    await send(run, 20, () => ['b']);
    // The bound that ShiftLimiter states, with a little for the noise of single seconds.
    for (const second of [1, 2, 3, 5, 8]) {
      const bound = 0.5 + (CAP_PERCENT / 100) * (second + 1) * (1 + 1 / second) + 0.03;
      expect(highestShare(run, 'b', 5, 5 + second)).toBeLessThan(bound);
    }
    expect(run.refused).toBeGreaterThan(0);
    expect(highestShare(run, 'b', 20, 25)).toBeGreaterThan(0.99);
  });

  it('lets the return after recovery move no faster than the cap', async () => {
    const run = makeRun();
    run.limiter.seed({ a: 0.5, b: 0.5 });
    await send(run, 30, () => ['b']);
    await send(run, 15, (draw) => (draw < 0.5 ? ['a', 'b'] : ['b']));
    expect(highestShare(run, 'a', 30, 33)).toBeLessThan(0.05 * 6 + 0.03);
    expect(highestShare(run, 'a', 42, 45)).toBeGreaterThan(0.45);
  });

  it('starts from the placement that it is given, not from an ideal one', async () => {
    const run = makeRun();
    run.limiter.seed({ a: 1 });
    await send(run, 3, () => ['b', 'a']);
    expect(highestShare(run, 'b', 0, 1)).toBeLessThan(0.25);
  });

  it('lets everything move at once where no cap is set', async () => {
    const run = makeRun(undefined);
    run.limiter.percentPerSecond = undefined;
    run.limiter.seed({ a: 1 });
    await send(run, 2, () => ['b']);
    expect(run.refused).toBe(0);
  });
});
