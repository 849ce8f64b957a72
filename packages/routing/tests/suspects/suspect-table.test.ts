/**
 * A popular lookup and other requests are at targets that crash; reports of peers arrive late,
 * twice, and in any order.
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

function crashAll(table: SuspectTable, fingerprint: string, targets: readonly string[]): void {
  for (const target of targets) {
    table.recordCrash(fingerprint, target);
  }
}

describe('SuspectTable', () => {
  it('marks a request as a suspect from the third crash', () => {
    const { table } = setUp();
    crashAll(table, 'bad', ['a', 'b']);
    expect(table.isSuspect('bad')).toBe(false);
    crashAll(table, 'bad', ['c']);
    expect(table.isSuspect('bad')).toBe(true);
    expect(table.suspects).toEqual(['bad']);
  });

  it('counts each incarnation once, whichever host observed the crash', () => {
    const { table } = setUp();
    crashAll(table, 'bad', ['a', 'b', 'a']);
    table.merge([
      { fingerprint: 'bad', crashes: [{ target: 'a', ageMilliseconds: 9, responses: 0 }] },
    ]);
    expect(table.crashesOf('bad')).toEqual(['a', 'b']);
  });

  it('clears a suspect after two responses, or one that counts as two', () => {
    const { table } = setUp();
    crashAll(table, 'look-up', ['a', 'b', 'c']);
    expect(table.recordResponse('look-up')).toBe(true);
    expect(table.isSuspect('look-up')).toBe(true);
    expect(table.recordResponse('look-up')).toBe(true);
    expect(table.isSuspect('look-up')).toBe(false);
    crashAll(table, 'look-up', ['d', 'e']);
    expect(table.isSuspect('look-up')).toBe(false);
    crashAll(table, 'look-up', ['f']);
    expect(table.crashesOf('look-up')).toEqual(['d', 'e', 'f']);
    table.recordResponse('look-up', RESPONSES_TO_CLEAR);
    expect(table.crashesOf('look-up')).toEqual([]);
  });

  it('clears a crash whose target is alive', () => {
    const { table } = setUp();
    crashAll(table, 'one', ['a', 'b', 'c']);
    crashAll(table, 'two', ['a']);
    table.recordAlive('a');
    expect(table.crashesOf('one')).toEqual(['b', 'c']);
    expect(table.crashesOf('two')).toEqual([]);
  });

  it('does not restore cleared crashes from late reports', () => {
    const { clock, table } = setUp();
    const late = new SuspectTable(clock);
    crashAll(table, 'look-up', ['a', 'b', 'c']);
    late.merge(table.report('all'));
    table.recordResponse('look-up', RESPONSES_TO_CLEAR);
    table.merge(late.report('all'));
    expect(table.isSuspect('look-up')).toBe(false);
    late.merge(table.report('all'));
    expect(late.isSuspect('look-up')).toBe(false);
  });

  it('converges on all hosts regardless of the order and repetition of reports', async () => {
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
        const reports = one?.report('all') ?? [];
        messages.push(() => other?.merge(reports));
      }
      for (const deliver of shuffled(random, [...messages, ...messages])) {
        deliver();
      }
      await clock.advance(100);
      for (let round = 0; round < 3; round++) {
        for (const table of tables) {
          const reports = table.report('all');
          for (const other of tables) {
            other.merge(reports);
          }
        }
      }
      const crashes = tables.map((table) => table.crashesOf('look-up').sort().join());
      expect(new Set(crashes).size, `seed ${seed}`).toBe(1);
    }
  });

  it('expires a request ten minutes after its last crash, unless it still arrives', async () => {
    const { clock, table } = setUp();
    crashAll(table, 'gone', ['a', 'b', 'c']);
    crashAll(table, 'bad', ['a', 'b', 'c']);
    for (let minute = 0; minute < 11; minute++) {
      await clock.advance(MINUTE_MILLISECONDS);
      table.recordArrival('bad');
      table.sweep();
    }
    expect([table.isSuspect('gone'), table.isSuspect('bad')]).toEqual([false, true]);
    expect([table.hasPrefix('gone'), table.hasPrefix('bad')]).toEqual([false, true]);
  });

  it('keeps at most 1,024 requests and evicts the weakest first', () => {
    const { table } = setUp();
    crashAll(table, 'bad', ['a', 'b', 'c']);
    for (let index = 0; index < 5_000; index++) {
      table.recordCrash(`new-${index}`, `target-${index}`);
    }
    expect(table.size).toBe(1_024);
    expect(table.isSuspect('bad')).toBe(true);
    expect(table.has('new-4999')).toBe(true);
    expect(table.has('new-0')).toBe(false);
  });

  it('keeps eight crashes of a request and replaces cleared ones', () => {
    const { table } = setUp();
    const first = Array.from({ length: 12 }, (_, index) => `first-${index}`);
    crashAll(table, 'bad', first);
    expect(table.crashesOf('bad')).toHaveLength(8);
    table.recordResponse('bad', RESPONSES_TO_CLEAR);
    crashAll(table, 'bad', ['a', 'b', 'c']);
    expect(table.crashesOf('bad')).toEqual(['a', 'b', 'c']);
  });

  it('reports changes for three seconds, and then reminders of requests with two crashes', async () => {
    const { clock, table } = setUp();
    expect(table.report('all')).toEqual([]);
    table.recordCrash('look-up', 'a');
    crashAll(table, 'bad', ['a', 'b']);
    expect(table.report('own').map(({ fingerprint }) => fingerprint)).toEqual(['bad', 'look-up']);
    await clock.advance(4_000);
    expect(table.report('own')).toMatchObject([{ fingerprint: 'bad' }]);
  });

  it('forwards reports of peers only as a relay', () => {
    const { clock, table } = setUp();
    const other = new SuspectTable(clock);
    table.recordCrash('bad', 'a');
    other.merge(table.report('own'));
    expect([other.report('own'), other.report('all').length]).toEqual([[], 1]);
  });

  it('reports at most 18 requests, those with the most crashes first, and reminders in turn', async () => {
    const { clock, table } = setUp();
    for (let index = 0; index < 100; index++) {
      table.recordCrash(`look-up-${index}`, 'a');
    }
    crashAll(table, 'bad', ['a', 'b', 'c']);
    const reports = table.report('all');
    expect(reports.length).toBeLessThanOrEqual(18);
    expect(reports[0]?.fingerprint).toBe('bad');
    for (let index = 0; index < 9; index++) {
      crashAll(table, `worse-${index}`, ['a', 'b']);
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
