import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { AcceptDelay } from '../../src/queue/accept-delay.js';

/** An event loop whose turns take as long as the test says. */
function makeLoop() {
  const clock = new FakeClock();
  const callbacks: (() => void)[] = [];
  const delay = new AcceptDelay(clock, (callback) => {
    callbacks.push(callback);
  });
  const turn = async (milliseconds: number, accepts: boolean): Promise<void> => {
    if (accepts) {
      delay.record();
    }
    for (const callback of callbacks.splice(0)) {
      callback();
    }
    await clock.advance(milliseconds);
  };
  return { delay, turn };
}

describe('AcceptDelay', () => {
  it('is none while a turn without a connection follows each with one', async () => {
    const { delay, turn } = makeLoop();
    for (let index = 0; index < 20; index++) {
      await turn(3, true);
      await turn(3, false);
    }
    expect(delay.takeLargest()).toBe(0);
    expect(delay.milliseconds).toBe(0);
    expect(delay.accepted).toBe(20);
  });

  // Guards against a queue of connections that no clock of the process shows, as each turn is short.
  it('counts from the first of the turns that accepted a connection each', async () => {
    const { delay, turn } = makeLoop();
    for (let index = 0; index < 100; index++) {
      await turn(4, true);
    }
    expect(delay.milliseconds).toBe(400);
    expect(delay.takeLargest()).toBe(396);
    await turn(4, false);
    await turn(4, false);
    expect(delay.milliseconds).toBe(0);
    expect(delay.takeLargest()).toBe(0);
  });
});
