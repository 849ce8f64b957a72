/**
 * Guards against changes of the configuration that are not in force in time beside restarts, broken
 * and one-way paths, lost datagrams, a store that some hosts do not reach and that forgets its history.
 */
import { describe, expect, it } from 'vitest';
import { FaultPlay } from './fault-play.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const HOSTS = 12;
const SEEDS_AT_ONCE = (process.env.SEEDS ?? '1 7').split(' ').map(Number);

describe('changes of the configuration beside faults', { timeout: 120_000 }, () => {
  it.each(SEEDS)('are in force at hosts in touch in time, seed %i', async (seed) => {
    const played = new FaultPlay({ seed, hosts: HOSTS, isAtOnce: false });
    await played.play();
    expect(played.broken.slice(0, 5)).toEqual([]);
  });
});

// Guards against a sum of delays that holds for one fault alone.
describe('changes beside several faults in one moment', { timeout: 600_000 }, () => {
  const cases = [12, 45].flatMap((hosts) => SEEDS_AT_ONCE.map((seed) => [hosts, seed] as const));
  it.each(cases)(
    'are in force at hosts in touch in time, %i hosts, seed %i',
    async (hosts, seed) => {
      const played = new FaultPlay({ seed, hosts, isAtOnce: true });
      await played.play();
      expect(played.broken.slice(0, 5)).toEqual([]);
    },
  );
});
