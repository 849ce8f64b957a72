import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { EmulatedLoop } from './emulated-loop.js';
import type { Outcome } from './emulated-loop.js';

const TARGET_LATENCY_MILLISECONDS = 400;
/** Half of it, and some turns of the loop. */
const SHORTAGE_WAIT_MILLISECONDS = 225;

interface Demand {
  readonly seed: number;
  readonly perSecond: number;
  readonly seconds: number;
  /** Part of the requests that are urgent. */
  readonly urgent?: number;
}

interface Played extends Outcome {
  readonly isUrgent: boolean;
  readonly arrivedAt: number;
}

/** Plays random arrivals, a connection for each; a request takes 4.35 ms of the processor. */
async function play(
  loop: EmulatedLoop,
  { seed, perSecond, seconds, urgent = 0.4 }: Demand,
): Promise<Played[]> {
  const random = new SeededRandom(seed);
  const outcomes: Promise<Played>[] = [];
  const end = loop.clock.now() + seconds * 1_000;
  let nextAt = loop.clock.now();
  let accepted = 0;
  const read = (): void => {
    const isUrgent = random.next() < urgent;
    const arrivedAt = loop.clock.now();
    const outcome = loop.read({ priority: isUrgent ? 1 : 2 });
    outcomes.push(outcome.then((known) => ({ ...known, isUrgent, arrivedAt })));
  };
  while (loop.clock.now() < end || accepted > 0 || loop.queue.size > 0) {
    // The head on a connection is read a turn after it was accepted.
    for (; accepted > 0; accepted--) {
      read();
    }
    if (nextAt <= loop.clock.now() && nextAt < end) {
      loop.accept();
      accepted++;
      nextAt += (-Math.log(1 - random.next()) * 1_000) / perSecond;
    }
    await loop.turn();
  }
  await loop.turns(3);
  return Promise.all(outcomes);
}

function share(outcomes: readonly Played[], isCounted: (outcome: Played) => boolean): number {
  return outcomes.filter(isCounted).length / outcomes.length;
}

describe('RequestQueue', () => {
  it('starts requests one behind the other, each after one more poll', async () => {
    const loop = new EmulatedLoop();
    const [first, second] = [loop.read(), loop.read()];
    await loop.turn();
    expect(loop.queue.size).toBe(2);
    await loop.turn();
    expect(loop.queue.size).toBe(1);
    await loop.turn();
    expect(await first).toMatchObject({ verdict: 'start' });
    expect((await second).milliseconds).toBeGreaterThanOrEqual(loop.workMilliseconds);
  });

  it('starts the most urgent first', async () => {
    const loop = new EmulatedLoop();
    const started: number[] = [];
    for (const priority of [2, 0, 2, 1]) {
      void loop.read({ priority }).then(() => started.push(priority));
    }
    await loop.turns(6);
    expect(started).toEqual([0, 1, 2, 2]);
  });

  it('starts none in turns that accept connections, until requests have waited for 100 ms', async () => {
    const loop = new EmulatedLoop();
    const started: number[] = [];
    for (let index = 0; index < 4; index++) {
      void loop.read().then(({ milliseconds }) => started.push(milliseconds));
    }
    while (loop.clock.now() < 180) {
      loop.accept();
      await loop.turn();
    }
    expect(started).toHaveLength(4);
    expect(started[0]).toBeGreaterThanOrEqual(100);
    for (const [index, at] of started.entries()) {
      const since = at - (started[index - 1] ?? 100);
      expect(since).toBeLessThan(5 + 0.1 * 180 + loop.workMilliseconds + 1);
    }
  });

  // Guards against requests sent on after their callers have left (GONE).
  it('does not start a request whose close was read a turn after it', async () => {
    const loop = new EmulatedLoop();
    let isGone = false;
    const outcome = loop.read({ isCallerGone: () => isGone });
    await loop.turn();
    isGone = true;
    await loop.turn();
    expect(await outcome).toMatchObject({ verdict: 'caller-gone' });
    expect(loop.queue.callersGone).toBe(1);
  });

  it('serves accounts that wait in equal parts', async () => {
    const loop = new EmulatedLoop();
    const started: string[] = [];
    const read = (account: string): void => {
      void loop.read({ account }).then(() => started.push(account));
    };
    for (let index = 0; index < 20; index++) {
      read('a');
    }
    await loop.turns(4);
    for (let index = 0; index < 5; index++) {
      read('b');
    }
    await loop.turns(12);
    expect(started.slice(3, 13).filter((account) => account === 'b')).toHaveLength(5);
  });

  it('refuses none of a surge that it can serve in time', async () => {
    const loop = new EmulatedLoop();
    const outcomes = Array.from({ length: 90 }, () => loop.read());
    await loop.turns(100);
    const verdicts = new Set((await Promise.all(outcomes)).map(({ verdict }) => verdict));
    expect(verdicts).toEqual(new Set(['start']));
  });

  it('refuses of a greater surge what would be late', async () => {
    const loop = new EmulatedLoop();
    await play(loop, { seed: 1, perSecond: 150, seconds: 1 });
    const outcomes = Array.from({ length: 200 }, () => loop.read());
    await loop.turns(240);
    const all = await Promise.all(outcomes);
    const started = all.filter(({ verdict }) => verdict === 'start');
    expect(started.length).toBeGreaterThan(80);
    for (const { milliseconds } of started) {
      expect(milliseconds).toBeLessThanOrEqual(TARGET_LATENCY_MILLISECONDS);
    }
  });

  // Guards against answers after the time-out (CONFIG): a host that is asked for more than it can do.
  it.each([1, 2, 3])('keeps waits short in a shortage, seed %i', async (seed) => {
    const loop = new EmulatedLoop();
    const outcomes = await play(loop, { seed, perSecond: 460, seconds: 6 });
    const inShortage = outcomes.filter(({ arrivedAt }) => arrivedAt > 1_500);
    const isStarted = ({ verdict }: Played): boolean => verdict === 'start';
    const urgent = inShortage.filter(({ isUrgent }) => isUrgent);
    // Of each second, 460 connections take 161 ms.
    const mostPerSecond = 839 / (loop.workMilliseconds + 0.05);
    expect(inShortage.filter(isStarted).length / 4.5).toBeGreaterThan(0.9 * mostPerSecond);
    expect(share(urgent, isStarted)).toBeGreaterThan(0.95);
    for (const { milliseconds } of inShortage) {
      expect(milliseconds).toBeLessThan(SHORTAGE_WAIT_MILLISECONDS);
    }
  });

  it.each([1, 2, 3])('refuses nothing at nine tenths of what it can do, seed %i', async (seed) => {
    const loop = new EmulatedLoop();
    const outcomes = await play(loop, { seed, perSecond: 200, seconds: 6 });
    expect(share(outcomes, ({ verdict }) => verdict === 'start')).toBe(1);
  });

  it('refuses nothing from two seconds after a shortage on', async () => {
    const loop = new EmulatedLoop();
    await play(loop, { seed: 4, perSecond: 500, seconds: 4 });
    const after = await play(loop, { seed: 5, perSecond: 180, seconds: 4 });
    const end = Math.min(...after.map(({ arrivedAt }) => arrivedAt));
    const later = after.filter(({ arrivedAt }) => arrivedAt > end + 2_000);
    expect(share(later, ({ verdict }) => verdict === 'start')).toBe(1);
  });

  it('tells refused callers to return one after the other', async () => {
    const loop = new EmulatedLoop();
    const outcomes = await play(loop, { seed: 6, perSecond: 500, seconds: 3 });
    const waits = outcomes.flatMap(({ verdict }) =>
      typeof verdict === 'object' ? [verdict.retryAfterSeconds ?? 0] : [],
    );
    expect(waits.length).toBeGreaterThan(100);
    expect(Math.max(...waits)).toBeLessThanOrEqual(5);
    expect(new Set(waits).size).toBeGreaterThan(20);
  });
});
