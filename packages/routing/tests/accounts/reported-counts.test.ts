import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { ReportedCounts } from '../../src/index.js';

const all = (): boolean => true;

function makeCounts() {
  const clock = new FakeClock();
  const counts = new ReportedCounts(clock, 5_000);
  return { clock, counts, of: (account = 'a') => counts.of(account, all) };
}

describe('ReportedCounts', () => {
  it('sums the last report of each source', () => {
    const { counts, of } = makeCounts();
    counts.record('one', { a: 40, b: 1 });
    counts.record('two', { a: 10 });
    counts.record('one', { a: 35 });
    expect(of()).toBe(45);
    expect(of('b')).toBe(0);
    expect(counts.sum((source) => source === 'one')).toEqual({ a: 35 });
  });

  it('attributes a small drop to random arrivals', () => {
    const { counts, of } = makeCounts();
    counts.record('one', { a: 40 });
    counts.record('one', { a: 24 });
    expect(of()).toBe(24);
  });

  it('keeps lost counts of a source for a whole window', async () => {
    const { clock, counts, of } = makeCounts();
    counts.record('one', { a: 100 });
    await clock.advance(500);
    counts.record('one', { a: 0 });
    expect(of()).toBe(100);
    await clock.advance(4_400);
    counts.record('one', { a: 10 });
    expect(of()).toBe(100);
    await clock.advance(200);
    counts.record('one', { a: 12 });
    expect(of()).toBe(12);
  });

  it('drops lost counts once the source reports more than before', async () => {
    const { clock, counts, of } = makeCounts();
    counts.record('one', { a: 50 });
    counts.record('one', { a: 0 });
    await clock.advance(300);
    counts.record('one', { a: 60 });
    counts.record('one', { a: 58 });
    expect(of()).toBe(58);
  });

  it('does not add lost counts to new ones of the same account', () => {
    const { counts, of } = makeCounts();
    counts.record('one', { a: 50 });
    counts.record('one', { a: 3 });
    expect(counts.sum(all)).toEqual({ a: 50 });
    expect(of()).toBe(50);
  });

  it('counts a silent source fully for one window, then less', async () => {
    const { clock, counts, of } = makeCounts();
    counts.record('one', { a: 40 });
    await clock.advance(5_000);
    expect(of()).toBe(40);
    await clock.advance(2_500);
    expect(of()).toBe(20);
    await clock.advance(2_600);
    counts.sweep();
    expect(of()).toBe(0);
  });

  it('keeps the counts of an ended source for one window', async () => {
    const { clock, counts, of } = makeCounts();
    counts.record('one', { a: 40 });
    counts.markEnded('one');
    await clock.advance(5_000);
    expect(of()).toBe(40);
    await clock.advance(1);
    expect(of()).toBe(0);
  });
});
