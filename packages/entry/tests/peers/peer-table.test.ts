import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { HostReport } from '../../src/peers/peer-messages.js';
import { PeerTable, SILENCE_MILLISECONDS } from '../../src/peers/peer-table.js';
import { keepEvents, makeHostRecord } from '../fixtures.js';

function makeReport(changes: Partial<HostReport> = {}): HostReport {
  return {
    name: 'host-1',
    incarnation: 'first',
    sequence: 1,
    lastChange: 0,
    leaving: false,
    inFlight: {},
    ...changes,
  };
}

function makeTable() {
  const clock = new FakeClock();
  const { log, events } = keepEvents();
  return { clock, events, table: new PeerTable(clock, log) };
}

describe('PeerTable', () => {
  it('drops a peer that falls silent, and says so', async () => {
    const { clock, table, events } = makeTable();
    table.take(makeReport());
    await clock.advance(SILENCE_MILLISECONDS + 1);
    table.sweep();
    expect(table.alive).toEqual([]);
    expect(events.map(({ event }) => event)).toEqual(['peer', 'peer']);
    expect(events[1]).toMatchObject({ peer: 'host-1', alive: false });
  });

  it('ignores a report that comes after a later one', () => {
    const { table } = makeTable();
    table.take(makeReport({ sequence: 5, inFlight: { a: 1 } }));
    table.take(makeReport({ sequence: 4, inFlight: { a: 9 } }));
    expect(table.get('host-1')?.report.inFlight).toEqual({ a: 1 });
  });

  it('takes a restarted peer’s first report', () => {
    const { table } = makeTable();
    table.take(makeReport({ sequence: 500 }));
    table.take(makeReport({ incarnation: 'second', sequence: 1 }));
    expect(table.get('host-1')?.incarnation).toBe('second');
  });

  it.each([
    ['the same start of it', {}, true],
    ['another start of it', { incarnation: 'second' }, false],
    ['one that leaves', { leaving: true }, false],
    ['one that is not heard from', { name: 'host-2' }, false],
  ])('sends callers to a host where reports are of %s: %o', (_case, changes, expected) => {
    const { table } = makeTable();
    table.take(makeReport(changes));
    expect(table.takesCallers(makeHostRecord())).toBe(expected);
  });

  it('tells listeners that a silent peer has nothing under way', async () => {
    const { clock, table } = makeTable();
    const told: Record<string, number>[] = [];
    table.onReport((peer) => told.push(peer.report.inFlight));
    table.take(makeReport({ inFlight: { a: 2 } }));
    await clock.advance(SILENCE_MILLISECONDS + 1);
    table.sweep();
    expect(told).toEqual([{ a: 2 }, {}]);
  });
});
