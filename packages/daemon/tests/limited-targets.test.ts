/**
 * The incident of `packages/entry/tests/words/limited-targets.test.ts` at `ferrylockd`, with real connections: a target that names
 * in its answers how many requests a second it takes from all daemons together.
 */
import { fullestLimitWindows } from '@ferrylock/test-utils';
import { afterEach, describe, expect, it } from 'vitest';
import type { FixtureOptions } from './daemon-fixture.js';
import { Fixture, send } from './daemon-fixture.js';

/** A time of grace and a window. */
const CALLING_MILLISECONDS = 9_000;
const PAUSE_MILLISECONDS = 20;
const TEST_MILLISECONDS = 60_000;
const LIMIT = 2;

let fixture: Fixture | undefined;

afterEach(async () => {
  await fixture?.stop();
  fixture = undefined;
});

async function start(options: FixtureOptions): Promise<Fixture> {
  fixture = await Fixture.start(options);
  return fixture;
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE_MILLISECONDS));
}

describe('a target that names a limit', { timeout: TEST_MILLISECONDS }, () => {
  it.each([[1], [3]])(
    'gets no more than it bears from %i daemons, and others serve their callers',
    async (daemons) => {
      const running = await start({ targets: 2, daemons });
      Object.assign(running.target, { limit: String(LIMIT) });
      const until = performance.now() + CALLING_MILLISECONDS;
      const callAt = async (daemon: number): Promise<number[]> => {
        const statuses: number[] = [];
        while (performance.now() < until) {
          statuses.push((await send(running.url('/work', daemon))).status);
          await pause();
        }
        return statuses;
      };
      const statuses = await Promise.all(
        Array.from({ length: daemons }, (_, index) => callAt(index)),
      );
      expect(statuses.flat().filter((status) => status !== 200)).toEqual([]);
      const windows = fullestLimitWindows(
        running.target.arrivedAt.map((at) => ({ host: 'daemons', at, limitPerSecond: LIMIT })),
      );
      expect(windows.filter(({ fromTold, borne }) => fromTold > borne)).toEqual([]);
    },
  );

  it('is asked again soon where it is alone, and its callers are refused at once, truly, meanwhile', async () => {
    const running = await start({ targets: 1 });
    running.target.limit = String(LIMIT);
    const seen: string[] = [];
    for (let call = 0; call < 20; call++) {
      const answer = await fetch(running.url());
      await answer.text();
      seen.push(`${answer.status} ${answer.headers.get('retry-after') ?? ''}`.trim());
    }
    expect(seen.filter((status) => status.startsWith('200')).length).toBeLessThan(20);
    expect(new Set(seen.filter((status) => !status.startsWith('200')))).toEqual(new Set(['503 1']));
    const before = running.target.timesMet;
    while (running.target.timesMet === before) {
      await send(running.url());
      await pause();
    }
    running.target.limit = undefined;
    while ((await send(running.url())).status !== 200) {
      await pause();
    }
    expect((await send(running.url())).status).toBe(200);
  });
});
