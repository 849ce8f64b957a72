import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { StoreHealth } from '../../src/fleet/store-health.js';
import { captureEvents } from '../fixtures.js';

async function makeUnavailable() {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const health = new StoreHealth(clock, log);
  await clock.advance(1_000);
  health.recordFailure('watch', 'no answer');
  return { clock, events, health };
}

describe('StoreHealth', () => {
  it('is unavailable until a call succeeds', async () => {
    const { clock, health } = await makeUnavailable();
    expect(health.availableSince).toBe(Infinity);
    await clock.advance(500);
    health.recordSuccess(clock.now());
    expect(health.availableSince).toBe(1_500);
    expect(health.isUnavailable).toBe(false);
  });

  it('is available again once the store responds to another host', async () => {
    const { clock, health } = await makeUnavailable();
    await clock.advance(500);
    health.recordConfirmation(900);
    expect(health.isUnavailable).toBe(true);
    health.recordConfirmation(1_400);
    expect(health.isUnavailable).toBe(false);
    expect(health.availableSince).toBe(1_500);
  });

  it('logs one event for each outage and each recovery', async () => {
    const { clock, events, health } = await makeUnavailable();
    health.recordFailure('list', 'no answer');
    health.recordSuccess(clock.now());
    health.recordSuccess(clock.now());
    expect(events.map(({ event }) => event)).toEqual(['store-lost', 'store-regained']);
  });
});
