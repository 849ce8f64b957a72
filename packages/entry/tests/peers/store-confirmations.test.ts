import { FakeClock } from '@ferrylock/test-utils';
import { expect, test } from 'vitest';
import type { StoreConfirmation } from '../../src/peers/store-confirmations.js';
import { StoreConfirmations } from '../../src/peers/store-confirmations.js';

function makeConfirmation(changes: Partial<StoreConfirmation> = {}): StoreConfirmation {
  return {
    name: 'watcher',
    incarnation: 'first',
    sequence: 7,
    lastChange: 5,
    ageMilliseconds: 200,
    ...changes,
  };
}

async function makeConfirmations() {
  const clock = new FakeClock();
  await clock.advance(1_000);
  return { clock, confirmations: new StoreConfirmations(clock) };
}

test('a confirmation is passed on with its current age', async () => {
  const { clock, confirmations } = await makeConfirmations();
  expect(confirmations.record(makeConfirmation())).toBe(800);
  await clock.advance(150);
  expect(confirmations.newest).toEqual(makeConfirmation({ ageMilliseconds: 350 }));
});

test('a confirmation that circulates between hosts keeps its original time', async () => {
  const { clock, confirmations } = await makeConfirmations();
  const others = new StoreConfirmations(clock);
  confirmations.record(makeConfirmation());
  for (let round = 0; round < 20; round++) {
    const sent = confirmations.newest ?? makeConfirmation();
    await clock.advance(35);
    others.record(sent);
    const sentBack = others.newest ?? makeConfirmation();
    await clock.advance(35);
    confirmations.record(sentBack);
  }
  expect(confirmations.newest?.ageMilliseconds).toBe(200 + 20 * 70);
});

test('the more recent of two confirmations is passed on', async () => {
  const { confirmations } = await makeConfirmations();
  confirmations.record(makeConfirmation());
  confirmations.record(makeConfirmation({ name: 'other', ageMilliseconds: 500 }));
  expect(confirmations.newest?.name).toBe('watcher');
  confirmations.record(makeConfirmation({ name: 'other', sequence: 8, ageMilliseconds: 10 }));
  expect(confirmations.newest?.name).toBe('other');
});

test('confirmations to a restarted host are accepted', async () => {
  const { confirmations } = await makeConfirmations();
  confirmations.record(makeConfirmation({ sequence: 700 }));
  expect(confirmations.record(makeConfirmation({ incarnation: 'second', sequence: 1 }))).toBe(800);
});

// Guards against a host that wakes from a pause, reads what waited, and takes itself for up to date.
test('a confirmation that may have waited to be read counts as older by that time', async () => {
  const clock = new FakeClock();
  await clock.advance(9_000);
  let readDelay = 3_000;
  const confirmations = new StoreConfirmations(clock, () => readDelay);
  expect(confirmations.record(makeConfirmation())).toBe(5_800);
  expect(confirmations.newest?.ageMilliseconds).toBe(3_200);
  readDelay = 0;
  expect(confirmations.record(makeConfirmation({ sequence: 8 }))).toBe(8_800);
});
