import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { HostStatus } from '../../src/peers/host-status.js';
import { PeerTable, PEER_TIMEOUT_MILLISECONDS } from '../../src/peers/peer-table.js';
import { captureEvents, makeHostRecord } from '../fixtures.js';

function makeStatus(changes: Partial<HostStatus> = {}): HostStatus {
  return {
    name: 'host-1',
    incarnation: 'first',
    sequence: 1,
    leaving: false,
    reachesNone: false,
    utilization: 0,
    asked: {},
    ...changes,
  };
}

function makeTable(registered = 'first') {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  return { clock, events, table: new PeerTable(clock, log, () => registered) };
}

describe('PeerTable', () => {
  it('drops a peer that times out and logs an event', async () => {
    const { clock, table, events } = makeTable();
    table.update(makeStatus(), 'itself');
    await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    table.sweep();
    expect(table.alive).toEqual([]);
    expect(table.get('host-1')).toBeUndefined();
    expect(events.map(({ event }) => event)).toEqual(['peer', 'peer']);
    expect(events[1]).toMatchObject({ peer: 'host-1', alive: false });
  });

  it.each(['itself', 'another'] as const)('ignores a stale status from %s', (from) => {
    const { table } = makeTable();
    table.update(makeStatus({ sequence: 5 }), 'itself');
    expect(table.update(makeStatus({ sequence: 5, leaving: true }), from)).toBe(false);
    expect(table.get('host-1')?.leaving).toBe(false);
  });

  it('does not revive a timed-out peer by a stale status from others', async () => {
    const { clock, table } = makeTable();
    table.update(makeStatus({ sequence: 5 }), 'itself');
    await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    table.sweep();
    expect(table.update(makeStatus({ sequence: 5 }), 'another')).toBe(false);
    expect(table.alive).toEqual([]);
    expect(table.update(makeStatus({ sequence: 6 }), 'another')).toBe(true);
    expect(table.alive).toHaveLength(1);
  });

  it('accepts the first report of a restarted peer', () => {
    const { table } = makeTable();
    table.update(makeStatus({ sequence: 500 }), 'itself');
    table.update(makeStatus({ incarnation: 'second', sequence: 1 }), 'itself');
    expect(table.get('host-1')?.incarnation).toBe('second');
  });

  it.each([
    ['first', 'second'],
    ['second', 'second'],
  ])('accepts another incarnation from others only if registered: known %s', (known, expected) => {
    const { table } = makeTable('second');
    table.update(makeStatus({ incarnation: known, sequence: 9 }), 'itself');
    const other = known === 'first' ? 'second' : 'first';
    table.update(makeStatus({ incarnation: other, sequence: 50 }), 'another');
    expect(table.get('host-1')?.incarnation).toBe(expected);
  });

  it.each([
    ['the same incarnation', {}, true],
    ['another incarnation', { incarnation: 'second' }, false],
    ['a leaving host', { leaving: true }, false],
    ['a host that reaches no target', { reachesNone: true }, false],
    ['another host', { name: 'host-2' }, false],
  ])('checks whether a host is serving by reports of %s: %o', (_case, changes, expected) => {
    const { table } = makeTable();
    table.update(makeStatus(changes), 'itself');
    expect(table.isServing(makeHostRecord())).toBe(expected);
  });
});
