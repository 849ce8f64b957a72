import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { RecentHosts } from '../../src/fleet/recent-hosts.js';
import { makeHostRecord } from '../fixtures.js';

const REMEMBERED_MILLISECONDS = 7_000;
const [first, second] = ['host-1', 'host-2'].map((name) => makeHostRecord({ name })) as [
  ReturnType<typeof makeHostRecord>,
  ReturnType<typeof makeHostRecord>,
];

describe('RecentHosts', () => {
  it('remembers hosts whose entries are gone, for a while', async () => {
    const clock = new FakeClock();
    const recent = new RecentHosts(clock);
    recent.update([first, second]);
    recent.update([]);
    expect(recent.hosts).toEqual([first, second]);
    await clock.advance(REMEMBERED_MILLISECONDS);
    expect(recent.hosts).toEqual([]);
  });

  it('has a host once that registers again, by its new record', () => {
    const recent = new RecentHosts(new FakeClock());
    recent.update([first]);
    recent.update([]);
    const again = { ...first, incarnation: 'second' };
    recent.update([again]);
    expect(recent.hosts).toEqual([again]);
  });

  it('returns the same array while nothing changes', async () => {
    const clock = new FakeClock();
    const recent = new RecentHosts(clock);
    recent.update([first, second]);
    const { hosts } = recent;
    await clock.advance(2 * REMEMBERED_MILLISECONDS);
    expect(recent.hosts).toBe(hosts);
  });
});
