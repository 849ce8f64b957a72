import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { StoreHealth } from '../../src/fleet/store-health.js';
import { captureEvents } from '../fixtures.js';

async function makeLost() {
  const clock = new FakeClock();
  const { log, events } = captureEvents();
  const health = new StoreHealth(clock, log);
  await clock.advance(1_000);
  health.recordFailure('watch', 'no answer');
  return { clock, events, health };
}

describe('StoreHealth', () => {
  it('is lost until a call succeeds', async () => {
    const { clock, health } = await makeLost();
    expect(health.availableSince).toBe(Infinity);
    await clock.advance(500);
    health.recordSuccess(clock.now());
    expect(health.availableSince).toBe(1_500);
    expect(health.isUnavailable).toBe(false);
  });

  it('is regained by what others were answered, for a host that makes no calls itself', async () => {
    const { clock, health } = await makeLost();
    await clock.advance(500);
    health.recordConfirmation(900);
    expect(health.isUnavailable).toBe(true);
    health.recordConfirmation(1_400);
    expect(health.isUnavailable).toBe(false);
    expect(health.availableSince).toBe(1_500);
  });

  it('writes one line for each loss and each return', async () => {
    const { clock, events, health } = await makeLost();
    health.recordFailure('list', 'no answer');
    health.recordSuccess(clock.now());
    health.recordSuccess(clock.now());
    expect(events.map(({ event }) => event)).toEqual(['store-lost', 'store-regained']);
  });
});
