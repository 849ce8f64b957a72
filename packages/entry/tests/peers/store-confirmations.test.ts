import { FakeClock } from '@ferrylock/test-utils';
import { expect, test } from 'vitest';
import type { StoreConfirmation } from '../../src/peers/store-confirmations.js';
import { StoreConfirmations } from '../../src/peers/store-confirmations.js';

function makeAnswer(changes: Partial<StoreConfirmation> = {}): StoreConfirmation {
  return {
    name: 'watcher',
    incarnation: 'first',
    sequence: 7,
    lastChange: 5,
    ageMilliseconds: 200,
    ...changes,
  };
}

async function makeAnswers() {
  const clock = new FakeClock();
  await clock.advance(1_000);
  return { clock, answers: new StoreConfirmations(clock) };
}

test('an answer is passed on with the age that it has by then', async () => {
  const { clock, answers } = await makeAnswers();
  expect(answers.record(makeAnswer())).toBe(800);
  await clock.advance(150);
  expect(answers.newest).toEqual(makeAnswer({ ageMilliseconds: 350 }));
});

test('an answer that goes round does not grow younger by the time under way', async () => {
  const { clock, answers } = await makeAnswers();
  const others = new StoreConfirmations(clock);
  answers.record(makeAnswer());
  for (let round = 0; round < 20; round++) {
    const told = answers.newest ?? makeAnswer();
    await clock.advance(35);
    others.record(told);
    const toldBack = others.newest ?? makeAnswer();
    await clock.advance(35);
    answers.record(toldBack);
  }
  expect(answers.newest?.ageMilliseconds).toBe(200 + 20 * 70);
});

test('of two hosts’ answers the younger one is passed on', async () => {
  const { answers } = await makeAnswers();
  answers.record(makeAnswer());
  answers.record(makeAnswer({ name: 'other', ageMilliseconds: 500 }));
  expect(answers.newest?.name).toBe('watcher');
  answers.record(makeAnswer({ name: 'other', sequence: 8, ageMilliseconds: 10 }));
  expect(answers.newest?.name).toBe('other');
});

test('a restarted host’s answers count from the start', async () => {
  const { answers } = await makeAnswers();
  answers.record(makeAnswer({ sequence: 700 }));
  expect(answers.record(makeAnswer({ incarnation: 'second', sequence: 1 }))).toBe(800);
});
