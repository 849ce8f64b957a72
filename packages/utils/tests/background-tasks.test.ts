import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { BackgroundTasks, silentLogger } from '../src/index.js';

function setUp() {
  const clock = new FakeClock();
  const logged: unknown[] = [];
  const failed: string[] = [];
  const tasks = new BackgroundTasks({
    clock,
    logger: { ...silentLogger, error: (_, fields) => logged.push(fields?.task) },
    onFailure: (name) => failed.push(name),
  });
  return { clock, tasks, logged, failed };
}

describe('BackgroundTasks', () => {
  // Guards against a host that goes on for good without one of its loops.
  it('runs a loop that fails again after a pause', async () => {
    const { clock, tasks, logged, failed } = setUp();
    let runs = 0;
    tasks.start('loop', async (signal) => {
      runs++;
      if (runs < 3) {
        throw new Error('failed');
      }
      await clock.sleep(1_000_000, signal);
    });
    await clock.advance(999);
    expect(runs).toBe(1);
    await clock.advance(1);
    expect(runs).toBe(2);
    await clock.advance(10_000);
    expect(runs).toBe(3);
    expect([logged, failed]).toEqual([
      ['loop', 'loop'],
      ['loop', 'loop'],
    ]);
    await tasks.stop();
  });

  it('does not run a loop again that has ended, or after the stop', async () => {
    const { clock, tasks } = setUp();
    let ended = 0;
    let failed = 0;
    tasks.start('ends', async () => {
      ended++;
    });
    tasks.start('fails', async () => {
      failed++;
      throw new Error('failed');
    });
    await clock.advance(500);
    await tasks.stop();
    await clock.advance(10_000);
    expect([ended, failed]).toEqual([1, 1]);
  });

  // Guards against an exception in one task that ends the process.
  it('counts failures of tasks that run once, and logs one a second', async () => {
    const { clock, tasks, logged, failed } = setUp();
    for (let count = 0; count < 3; count++) {
      tasks.run('once', async () => {
        throw new Error('failed');
      });
    }
    tasks.run('synchronous', () => {
      throw new Error('failed');
    });
    await clock.advance(1);
    expect(logged).toHaveLength(1);
    expect(failed.sort()).toEqual(['once', 'once', 'once', 'synchronous']);
    await tasks.stop();
  });
});
