import { randomIndex } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { RepeatFleet } from './repeat-fleet.js';

const FLEETS = [
  { hosts: 12, requestsPerSecond: 40 },
  { hosts: 12, requestsPerSecond: 120 },
  { hosts: 12, requestsPerSecond: 320 },
  { hosts: 65, requestsPerSecond: 320 },
  { hosts: 300, requestsPerSecond: 320 },
];
/** `SEEDS` sets another number of seeds for runs by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 6) }, (_, index) => index + 1);
const WINDOW_MILLISECONDS = 10_000;
/** The part of what is allowed that has to be usable. */
const MIN_USE = 0.6;

/** Lets all sends fail for a while, then none, with further disruption in between. */
type Disrupt = (fleet: RepeatFleet) => void;

const fail = (fleet: RepeatFleet, milliseconds: number, share = 1): void => {
  fleet.failing = share;
  fleet.run(milliseconds);
  fleet.failing = 0;
};

const isFirstHalf = (fleet: RepeatFleet) => (index: number) => index < fleet.size / 2;

/** Ends and starts hosts; returns after the time that a process needs to start. */
const restart = (fleet: RepeatFleet, indices: readonly number[], knownHosts?: number): void => {
  for (const index of indices) {
    fleet.kill(index);
  }
  fleet.run(800);
  for (const index of indices) {
    fleet.start(index, knownHosts);
  }
};

const all = (fleet: RepeatFleet): number[] => Array.from({ length: fleet.size }, (_, host) => host);

const some = (fleet: RepeatFleet): number[] => all(fleet).filter(() => fleet.random.next() < 0.55);

const SINGLE_DISRUPTIONS: Record<string, Disrupt> = {
  'all hosts start anew once': (fleet) => {
    fail(fleet, 2_000);
    restart(fleet, all(fleet));
    fail(fleet, 8_000);
  },
  'all hosts start anew three times': (fleet) => {
    for (let time = 0; time < 3; time++) {
      fail(fleet, 1_200);
      restart(fleet, all(fleet));
    }
    fail(fleet, 4_000);
  },
  'callers move from one half of the hosts to the other': (fleet) => {
    fleet.moveCallers(isFirstHalf(fleet));
    fleet.run(WINDOW_MILLISECONDS);
    fail(fleet, 1_500);
    fleet.moveCallers((index) => !isFirstHalf(fleet)(index));
    fleet.run(6_500);
    fail(fleet, 1_500);
  },
  'half of the hosts end and their callers move to the others': (fleet) => {
    fail(fleet, 1_500);
    restart(fleet, all(fleet).filter(isFirstHalf(fleet)));
    fleet.run(5_000);
    fail(fleet, 2_500);
  },
  'each host knows of itself alone for a while': (fleet) => {
    fleet.setKnownHosts(1);
    fail(fleet, 4_000);
    fleet.setKnownHosts(fleet.size);
    fail(fleet, 4_000);
  },
  'all lose power and learn of each other late': (fleet) => {
    fail(fleet, 1_500);
    restart(fleet, all(fleet), 1);
    fail(fleet, 4_000);
    fleet.setKnownHosts(fleet.size);
    fail(fleet, 4_000);
  },
  'halves do not know of each other': (fleet) => {
    fleet.setKnownHosts(fleet.size / 2);
    fail(fleet, 15_000);
  },
  'halves do not hear each other': (fleet) => {
    fleet.setHeardHosts(fleet.size / 2);
    fail(fleet, 15_000);
    fleet.setHeardHosts(fleet.size);
    fail(fleet, 5_000);
  },
  'hosts are suspended': (fleet) => {
    for (const index of some(fleet)) {
      fleet.suspend(index);
    }
    fleet.run(3_000);
    for (const index of all(fleet)) {
      fleet.resume(index);
    }
    fail(fleet, 9_000);
  },
};

/** Any of these one after the other, with waves, bursts and failures of any length beside. */
const disruptAtRandom: Disrupt = (fleet) => {
  const { random } = fleet;
  const between = (low: number, high: number): number => low + random.next() * (high - low);
  const disruptions: Disrupt[] = [
    () => {
      restart(fleet, some(fleet));
    },
    () => {
      restart(fleet, all(fleet), random.next() < 0.5 ? 1 : undefined);
    },
    () => {
      fleet.moveCallers(isFirstHalf(fleet));
    },
    () => {
      fleet.moveCallers((index) => !isFirstHalf(fleet)(index));
    },
    () => {
      fleet.setKnownHosts(Math.ceil(fleet.size * random.next()));
      fail(fleet, between(0, 4_000));
      fleet.setKnownHosts(fleet.size);
    },
    () => {
      fleet.setHeardHosts(Math.ceil(fleet.size * random.next()));
    },
    () => {
      fleet.load = between(0.45, 1.55);
    },
    () => {
      fleet.load = between(1.7, 3);
      fleet.run(1_000);
      fleet.load = 1;
    },
  ];
  for (let index = 0; index < 16; index++) {
    disruptions[randomIndex(random, disruptions.length)]?.(fleet);
    fleet.run(between(0, 2_000));
    fleet.setKnownHosts(fleet.size);
    fail(fleet, between(200, 3_000), between(0.2, 1));
  }
};

/** The same, where a wrong number of known hosts holds until another is drawn. */
const disruptWithLastingCounts: Disrupt = (fleet) => {
  const { random } = fleet;
  const between = (low: number, high: number): number => low + random.next() * (high - low);
  const disruptions: Disrupt[] = [
    () => {
      restart(fleet, some(fleet));
    },
    () => {
      restart(fleet, all(fleet), random.next() < 0.5 ? 1 : undefined);
    },
    () => {
      fleet.moveCallers(isFirstHalf(fleet));
    },
    () => {
      fleet.moveCallers((index) => !isFirstHalf(fleet)(index));
    },
    () => {
      fleet.setKnownHosts(Math.ceil(fleet.size * random.next()));
    },
    () => {
      fleet.setKnownHosts(fleet.size);
    },
    () => {
      fleet.load = between(0.45, 1.55);
    },
    () => {
      fleet.load = between(1.7, 3);
      fleet.run(1_000);
      fleet.load = 1;
    },
  ];
  for (let index = 0; index < 16; index++) {
    disruptions[randomIndex(random, disruptions.length)]?.(fleet);
    fleet.run(between(0, 2_000));
    fail(fleet, between(200, 3_000), between(0.2, 1));
  }
};

const DISRUPTIONS = Object.entries({
  ...SINGLE_DISRUPTIONS,
  'any of these happen in series and wrong numbers of hosts last four seconds': disruptAtRandom,
  'any of these happen in series': disruptWithLastingCounts,
});

describe('repeats of all hosts together', () => {
  // Guards against a budget that is kept by each host alone and forgotten, or left behind by its callers.
  it.each(DISRUPTIONS)('stay within the limit while %s', (_, disrupt) => {
    const uses = FLEETS.flatMap(({ hosts, requestsPerSecond }) =>
      SEEDS.map((seed) => {
        const fleet = new RepeatFleet({ hosts, requestsPerSecond, seed });
        fleet.run(WINDOW_MILLISECONDS);
        disrupt(fleet);
        fleet.run(WINDOW_MILLISECONDS);
        return { hosts, requestsPerSecond, seed, use: fleet.worstUse };
      }),
    );
    const worst = uses.reduce((one, other) => (other.use > one.use ? other : one));
    expect(worst.use, JSON.stringify(worst)).toBeLessThanOrEqual(1);
  });

  // Guards against a limit so divided that callers get no repeats though nearly none were made.
  it.each(FLEETS)(
    'are available while all sends fail: $hosts hosts, $requestsPerSecond requests a second',
    (options) => {
      for (const seed of SEEDS) {
        const fleet = new RepeatFleet({ ...options, seed });
        fleet.run(WINDOW_MILLISECONDS);
        fail(fleet, 2 * WINDOW_MILLISECONDS);
        expect(fleet.lastUse, `seed ${seed}`).toBeGreaterThanOrEqual(MIN_USE);
      }
    },
  );

  // Guards against budgets that stay behind at hosts that callers have left.
  it.each(FLEETS)(
    'are available where callers are: $hosts hosts, $requestsPerSecond requests a second',
    (options) => {
      for (const seed of SEEDS) {
        const fleet = new RepeatFleet({ ...options, seed });
        fleet.run(WINDOW_MILLISECONDS);
        fleet.moveCallers((index) => index % 3 === 0);
        fail(fleet, 2 * WINDOW_MILLISECONDS);
        expect(fleet.lastUse, `seed ${seed}`).toBeGreaterThanOrEqual(MIN_USE);
      }
    },
  );

  // Guards against hosts that repeat nothing for a whole window after their start.
  it('are available soon after all hosts have started', () => {
    for (const seed of SEEDS) {
      const fleet = new RepeatFleet({ hosts: 12, requestsPerSecond: 320, seed });
      fleet.run(WINDOW_MILLISECONDS);
      restart(fleet, all(fleet));
      const start = fleet.steps.length;
      fail(fleet, 2_000);
      const repeats = fleet.steps.slice(start).reduce((sum, step) => sum + step.repeats, 0);
      expect(repeats, `seed ${seed}`).toBeGreaterThan(fleet.size);
    }
  });
});
