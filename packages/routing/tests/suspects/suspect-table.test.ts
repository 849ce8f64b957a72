/**
 * Load: a popular look-up, and some ten others, are at a target whenever one ends; a request that ends targets comes
 * at any host. What hosts tell one another of it arrives late, twice, and in any order.
 */
import { FakeClock } from '@ferrylock/test-utils';
import { SeededRandom, shuffled } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { RESPONSES_TO_CLEAR, SuspectTable } from '../../src/suspects/suspect-table.js';

const MINUTE_MILLISECONDS = 60_000;

function setUp() {
  const clock = new FakeClock();
  return { clock, table: new SuspectTable(clock) };
}

function endAll(table: SuspectTable, fingerprint: string, targets: readonly string[]): void {
  for (const target of targets) {
    table.recordCrash(fingerprint, target);
  }
}

describe('SuspectTable', () => {
  it('suspects a request from the third target that ends under it', () => {
    const { table } = setUp();
    endAll(table, 'bad', ['a', 'b']);
    expect(table.isSuspect('bad')).toBe(false);
    endAll(table, 'bad', ['c']);
    expect(table.isSuspect('bad')).toBe(true);
    expect(table.suspects).toEqual(['bad']);
  });

  it('counts each start of a target once, whoever saw its end', () => {
    const { table } = setUp();
    endAll(table, 'bad', ['a', 'b', 'a']);
    table.merge([
      { fingerprint: 'bad', crashes: [{ target: 'a', ageMilliseconds: 9, responses: 0 }] },
    ]);
    expect(table.crashesOf('bad')).toEqual(['a', 'b']);
  });

  it('lets a request in again once it has been answered twice, or in a trial', () => {
    const { table } = setUp();
    endAll(table, 'look-up', ['a', 'b', 'c']);
    expect(table.recordResponse('look-up')).toBe(true);
    expect(table.isSuspect('look-up')).toBe(true);
    expect(table.recordResponse('look-up')).toBe(true);
    expect(table.isSuspect('look-up')).toBe(false);
    endAll(table, 'look-up', ['d', 'e']);
    expect(table.isSuspect('look-up')).toBe(false);
    endAll(table, 'look-up', ['f']);
    expect(table.crashesOf('look-up')).toEqual(['d', 'e', 'f']);
    table.recordResponse('look-up', RESPONSES_TO_CLEAR);
    expect(table.crashesOf('look-up')).toEqual([]);
  });

  it('takes an end back whose target lives', () => {
    const { table } = setUp();
    endAll(table, 'one', ['a', 'b', 'c']);
    endAll(table, 'two', ['a']);
    table.recordAlive('a');
    expect(table.crashesOf('one')).toEqual(['b', 'c']);
    expect(table.crashesOf('two')).toEqual([]);
  });

  it('does not count again what an answer took back, however late others tell of it', () => {
    const { clock, table } = setUp();
    const late = new SuspectTable(clock);
    endAll(table, 'look-up', ['a', 'b', 'c']);
    late.merge(table.report('all'));
    table.recordResponse('look-up', RESPONSES_TO_CLEAR);
    table.merge(late.report('all'));
    expect(table.isSuspect('look-up')).toBe(false);
    late.merge(table.report('all'));
    expect(late.isSuspect('look-up')).toBe(false);
  });

  it('comes to the same at every host, in whatever order and however often news comes', async () => {
    for (let seed = 1; seed <= 200; seed++) {
      const clock = new FakeClock();
      const random = new SeededRandom(seed);
      const tables = Array.from({ length: 4 }, () => new SuspectTable(clock));
      const messages: (() => void)[] = [];
      for (let step = 0; step < 12; step++) {
        const one = tables[Math.floor(random.next() * tables.length)];
        const other = tables[Math.floor(random.next() * tables.length)];
        const target = `target-${Math.floor(random.next() * 7)}`;
        if (random.next() < 0.15) {
          one?.recordResponse('look-up');
        } else {
          one?.recordCrash('look-up', target);
        }
        const told = one?.report('all') ?? [];
        messages.push(() => other?.merge(told));
      }
      for (const deliver of shuffled(random, [...messages, ...messages])) {
        deliver();
      }
      await clock.advance(100);
      for (let round = 0; round < 3; round++) {
        for (const table of tables) {
          const told = table.report('all');
          for (const other of tables) {
            other.merge(told);
          }
        }
      }
      const known = tables.map((table) => table.crashesOf('look-up').sort().join());
      expect(new Set(known).size, `seed ${seed}`).toBe(1);
    }
  });

  it('forgets a request ten minutes after its last end, and keeps one that is asked for', async () => {
    const { clock, table } = setUp();
    endAll(table, 'gone', ['a', 'b', 'c']);
    endAll(table, 'bad', ['a', 'b', 'c']);
    for (let minute = 0; minute < 11; minute++) {
      await clock.advance(MINUTE_MILLISECONDS);
      table.recordArrival('bad');
      table.sweep();
    }
    expect([table.isSuspect('gone'), table.isSuspect('bad')]).toEqual([false, true]);
    expect([table.hasPrefix('gone'), table.hasPrefix('bad')]).toEqual([false, true]);
  });

  it('keeps 1,024 requests, and the strongest of them, whatever an account sends', () => {
    const { table } = setUp();
    endAll(table, 'bad', ['a', 'b', 'c']);
    for (let index = 0; index < 5_000; index++) {
      table.recordCrash(`new-${index}`, `target-${index}`);
    }
    expect(table.size).toBe(1_024);
    expect(table.isSuspect('bad')).toBe(true);
    expect(table.has('new-4999')).toBe(true);
    expect(table.has('new-0')).toBe(false);
  });

  it('keeps eight ends of a request, and takes new ones in place of those that were taken back', () => {
    const { table } = setUp();
    const first = Array.from({ length: 12 }, (_, index) => `first-${index}`);
    endAll(table, 'bad', first);
    expect(table.crashesOf('bad')).toHaveLength(8);
    table.recordResponse('bad', RESPONSES_TO_CLEAR);
    endAll(table, 'bad', ['a', 'b', 'c']);
    expect(table.crashesOf('bad')).toEqual(['a', 'b', 'c']);
  });

  it('tells nothing at rest, news for three seconds, and then reminds of what has two ends', async () => {
    const { clock, table } = setUp();
    expect(table.report('all')).toEqual([]);
    table.recordCrash('look-up', 'a');
    endAll(table, 'bad', ['a', 'b']);
    expect(table.report('own').map(({ fingerprint }) => fingerprint)).toEqual(['bad', 'look-up']);
    await clock.advance(4_000);
    expect(table.report('own')).toMatchObject([{ fingerprint: 'bad' }]);
  });

  it('passes on what it heard as a relay only', () => {
    const { clock, table } = setUp();
    const other = new SuspectTable(clock);
    table.recordCrash('bad', 'a');
    other.merge(table.report('own'));
    expect([other.report('own'), other.report('all').length]).toEqual([[], 1]);
  });

  it('tells 18 requests at once at most, those with most ends first, and reminds of all in turn', async () => {
    const { clock, table } = setUp();
    for (let index = 0; index < 100; index++) {
      table.recordCrash(`look-up-${index}`, 'a');
    }
    endAll(table, 'bad', ['a', 'b', 'c']);
    const told = table.report('all');
    expect(told.length).toBeLessThanOrEqual(18);
    expect(told[0]?.fingerprint).toBe('bad');
    for (let index = 0; index < 9; index++) {
      endAll(table, `worse-${index}`, ['a', 'b']);
    }
    await clock.advance(4_000);
    const reminded = new Set<string>();
    for (let round = 0; round < 5; round++) {
      for (const { fingerprint } of table.report('all')) {
        reminded.add(fingerprint);
      }
    }
    expect(reminded.size).toBe(10);
  });
});
