import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { HostShare } from '../src/index.js';

/** Longer than a host is new. */
const SETTLED_MILLISECONDS = 6_000;
/** Longer than hosts count that are no longer registered. */
const FORGOTTEN_MILLISECONDS = 30_000;

async function settledShare(registered: number) {
  const clock = new FakeClock();
  const share = new HostShare(clock);
  share.recordRegistered(registered);
  await clock.advance(SETTLED_MILLISECONDS);
  return { clock, share };
}

describe('HostShare', () => {
  it('follows the requests of the host’s callers', async () => {
    const { share } = await settledShare(12);
    expect(share.of({ own: 30, heard: 120, heardHosts: 12 })).toBeCloseTo(0.25);
    expect(share.of({ own: 0, heard: 120, heardHosts: 12 })).toBe(0);
  });

  it('is equal while nothing is known of the requests', async () => {
    const { share } = await settledShare(12);
    expect(share.of({ own: 0, heard: 0, heardHosts: 12 })).toBeCloseTo(1 / 12);
    expect(share.of({ own: 5, heard: 0, heardHosts: 12 })).toBeCloseTo(1 / 12);
  });

  it('leaves the parts of hosts that are not heard', async () => {
    const { share } = await settledShare(12);
    expect(share.of({ own: 30, heard: 60, heardHosts: 6 })).toBeCloseTo(0.25);
    expect(share.of({ own: 30, heard: 30, heardHosts: 1 })).toBeCloseTo(1 / 12);
  });

  // Guards against all hosts taking the whole while their entries have lapsed.
  it('leaves the parts of hosts whose entries are gone, for a while', async () => {
    const { clock, share } = await settledShare(12);
    share.recordRegistered(1);
    const alone = { own: 30, heard: 30, heardHosts: 1 };
    expect(share.of(alone)).toBeCloseTo(1 / 12);
    await clock.advance(FORGOTTEN_MILLISECONDS);
    expect(share.of(alone)).toBe(1);
  });

  // Guards against all hosts taking the whole since none knows of the others yet.
  it('is nothing at a new host', () => {
    const share = new HostShare(new FakeClock());
    expect(share.of({ own: 30, heard: 30, heardHosts: 1 })).toBe(0);
  });
});
