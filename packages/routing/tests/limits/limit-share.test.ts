import { FakeClock, makeLimitedAccount, partOfLimit, QuotaFleet } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { LimitShare } from '../../src/index.js';
import type { LimitView } from '../../src/index.js';

/**
 * Limits of one target over hosts that hear of each other up to a second late. The pattern is a target of twenty that gets 14.5
 * requests a second, as many as on the deployment where such limits were first named, and names a limit of one to five; bounds are
 * what the users bear in 4 s.
 */
const WINDOW_MILLISECONDS = 4_000;
const BORNE = { factor: 1.5, requests: 5 };
const WANTED_PER_SECOND = 14.5;
const SETTLE_MILLISECONDS = 8_000;
const MEASURED_MILLISECONDS = 30_000;
const LEAST_USED = 0.85;
const SERIES = 200;
const RUSHES = 12;

function makeFleet(hosts: number, perSecond: number, seed = 1): QuotaFleet {
  return new QuotaFleet({
    hosts,
    account: { ...makeLimitedAccount(perSecond), burst: 0 },
    bound: { windowMilliseconds: WINDOW_MILLISECONDS, overage: 0, slack: 0 },
    seed,
    makeWay: partOfLimit,
    digestMilliseconds: 400,
    mostAgeMilliseconds: 600,
  });
}

const borne = (perSecond: number): number =>
  (BORNE.factor * perSecond * WINDOW_MILLISECONDS) / 1_000 + BORNE.requests;
const alike = (hosts: number): number[] => Array.from({ length: hosts }, () => 1);
const at = (hosts: number, one: number): number[] =>
  Array.from({ length: hosts }, (_, host) => Number(host === one % hosts));

/** Plays on, and tells what ran in it as a part of the limit. */
function usedWhile(fleet: QuotaFleet, perSecond: number, play: () => void): number {
  const before = { ran: fleet.ran.length, at: fleet.now() };
  play();
  const seconds = (fleet.now() - before.at) / 1_000;
  return (fleet.ran.length - before.ran) / (perSecond * seconds);
}

const SIZES = [12, 75, 195];
const LIMITS = [1, 2.5, 4.9];
const CASES = SIZES.flatMap((hosts) => LIMITS.map((perSecond) => ({ hosts, perSecond })));

describe.each(CASES)('a limit of $perSecond a second at $hosts hosts', ({ hosts, perSecond }) => {
  /** Callers ask steadily; how much of the limit is used, and what came in the fullest window. */
  function playSteadily(parts: readonly number[]) {
    const fleet = makeFleet(hosts, perSecond);
    fleet.ask(WANTED_PER_SECOND, parts);
    fleet.run(SETTLE_MILLISECONDS);
    const used = usedWhile(fleet, perSecond, () => {
      fleet.run(MEASURED_MILLISECONDS);
    });
    return { used, most: fleet.mostIn(WINDOW_MILLISECONDS) };
  }

  it('is kept where callers come to all hosts alike', () => {
    expect(playSteadily(alike(hosts)).most).toBeLessThanOrEqual(borne(perSecond));
  });

  it('is used where callers come to all hosts alike', () => {
    expect(playSteadily(alike(hosts)).used).toBeGreaterThanOrEqual(LEAST_USED);
  });

  it('is kept where callers come to one host alone', () => {
    const { used, most } = playSteadily(at(hosts, 3));
    expect(used).toBeLessThanOrEqual(1.02);
    expect(most).toBeLessThanOrEqual(Math.ceil(4 * perSecond) + 1);
  });

  it('is used where callers come to one host alone', () => {
    expect(playSteadily(at(hosts, 3)).used).toBeGreaterThanOrEqual(LEAST_USED);
  });
});

describe('a limit, whatever happens to hosts and callers', () => {
  it.each([
    ['a rush of seven times what was wanted', 12],
    ['a rush of seven times what was wanted', 75],
    ['a rush of seven times what was wanted', 195],
  ])('is kept in %s, at %i hosts', (_case, hosts) => {
    const fleet = makeFleet(hosts, 2.5);
    fleet.ask(WANTED_PER_SECOND, alike(hosts));
    fleet.run(SETTLE_MILLISECONDS);
    fleet.ask(7 * WANTED_PER_SECOND, alike(hosts));
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(borne(2.5));
  });

  it.each([12, 75, 195])(
    'is kept in rushes of seven times what was wanted, whatever the draws, at %i hosts',
    (hosts) => {
      const befores: Readonly<Record<string, (fleet: QuotaFleet) => void>> = {
        'from ordinary load': (fleet) => {
          fleet.ask(WANTED_PER_SECOND, alike(hosts));
          fleet.run(SETTLE_MILLISECONDS);
        },
        'after a pause': (fleet) => {
          fleet.ask(WANTED_PER_SECOND, alike(hosts));
          fleet.run(SETTLE_MILLISECONDS);
          fleet.ask(0, alike(hosts));
          fleet.run(SETTLE_MILLISECONDS);
        },
        'from one host': (fleet) => {
          fleet.ask(WANTED_PER_SECOND, at(hosts, 3));
          fleet.run(SETTLE_MILLISECONDS);
        },
      };
      const passed = Object.entries(befores).flatMap(([name, before]) =>
        Array.from({ length: RUSHES }, (_, index) => index + 1)
          .filter((seed) => {
            const fleet = makeFleet(hosts, 1, seed);
            before(fleet);
            fleet.ask(7 * WANTED_PER_SECOND, alike(hosts));
            fleet.run(SETTLE_MILLISECONDS);
            return fleet.mostIn(WINDOW_MILLISECONDS) > borne(1);
          })
          .map((seed) => `${name}, seed ${seed}`),
      );
      expect(passed).toEqual([]);
    },
  );

  it.each([[12], [75], [300]])(
    'is kept where callers come at once to %i hosts at rest',
    (hosts) => {
      const fleet = makeFleet(hosts, 1);
      fleet.ask(0, alike(hosts));
      fleet.run(3 * SETTLE_MILLISECONDS);
      fleet.ask(7 * WANTED_PER_SECOND, alike(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(borne(1));
    },
  );

  it.each([
    [12, 1],
    [12, 4.9],
    [75, 1],
    [75, 4.9],
    [195, 1],
  ])(
    'is kept where callers leave %i hosts and come back in a rush, %d a second',
    (hosts, perSecond) => {
      const fleet = makeFleet(hosts, perSecond);
      fleet.ask(WANTED_PER_SECOND, alike(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      fleet.ask(0, alike(hosts));
      fleet.run(2 * SETTLE_MILLISECONDS);
      fleet.ask(7 * WANTED_PER_SECOND, alike(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(borne(perSecond));
    },
  );

  it('is kept a window after it was lowered, and used soon after it was raised', () => {
    const fleet = makeFleet(12, 4);
    fleet.ask(WANTED_PER_SECOND, alike(12));
    fleet.run(SETTLE_MILLISECONDS);
    fleet.setAccount({ ...makeLimitedAccount(1), burst: 0 });
    fleet.run(WINDOW_MILLISECONDS);
    fleet.ran.length = 0;
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(borne(1));
    fleet.setAccount({ ...makeLimitedAccount(4), burst: 0 });
    fleet.run(WINDOW_MILLISECONDS);
    const used = usedWhile(fleet, 4, () => {
      fleet.run(SETTLE_MILLISECONDS);
    });
    expect(used).toBeGreaterThan(0.8);
  });

  it(`is kept in ${SERIES} series of kills, cuts, starts, rushes and moves of which each is let settle`, () => {
    const passed = Array.from({ length: SERIES }, (_, index) => index + 1).filter((seed) => {
      const random = new SeededRandom(seed);
      const perSecond = 1 + 4 * random.next();
      const fleet = makeFleet(12, perSecond, seed);
      fleet.ask(WANTED_PER_SECOND, alike(12));
      fleet.run(SETTLE_MILLISECONDS);
      for (let step = 0; step < 4; step++) {
        disturb(fleet, random);
        fleet.run(1_000 + WINDOW_MILLISECONDS * random.next());
      }
      // What hosts did that were cut off or killed is excused; all the others together are not.
      return fleet.mostIn(WINDOW_MILLISECONDS) > borne(perSecond);
    });
    expect(passed).toEqual([]);
  });
});

function disturb(fleet: QuotaFleet, random: SeededRandom): void {
  const one = Math.floor(12 * random.next());
  const kinds = [
    () => {
      fleet.ask(WANTED_PER_SECOND, at(12, one));
    },
    () => {
      fleet.ask(3 * WANTED_PER_SECOND, alike(12));
    },
    () => {
      fleet.cut((host) => host % 3 === one % 3);
    },
    () => {
      fleet.cut(() => false);
    },
    () => {
      fleet.kill((host) => host % 4 === one % 4);
      fleet.run(1_000);
      fleet.restart();
    },
  ];
  kinds[Math.floor(kinds.length * random.next())]?.();
}

describe('LimitPart', () => {
  const alone: LimitView = {
    usageElsewhere: { used: 0, demandPerSecond: 0 },
    visibleHostShare: 1,
    hosts: 1,
    place: () => 0,
  };

  function make(perSecond: number) {
    const clock = new FakeClock();
    return { clock, part: new LimitShare(clock, new SeededRandom(1), perSecond) };
  }

  it('lets a host that is alone use all of it, also a very large one', async () => {
    const { clock, part } = make(1_000_000);
    let sent = 0;
    for (let step = 0; step < 100; step++) {
      await clock.advance(10);
      part.report(alone);
      for (let request = 0; request < 50; request++) {
        sent += Number(part.tryAcquire(alone));
      }
    }
    expect(sent).toBe(5_000);
  });

  it('has back what was let be sent and was not', async () => {
    const { clock, part } = make(0.2);
    await clock.advance(10_000);
    expect(part.tryAcquire(alone)).toBe(true);
    expect(part.tryAcquire(alone)).toBe(false);
    part.release();
    expect(part.used).toBe(0);
    expect(part.tryAcquire(alone)).toBe(true);
  });

  it('sends nothing where others have used it up, and tells a time until it may', async () => {
    const { clock, part } = make(2);
    await clock.advance(10_000);
    const usedUp = { ...alone, usageElsewhere: { used: 8, demandPerSecond: 1 }, hosts: 2 };
    expect(part.tryAcquire(usedUp)).toBe(false);
    expect(part.waitMilliseconds(usedUp)).toBeGreaterThanOrEqual(500);
    expect(part.tryAcquire({ ...usedUp, usageElsewhere: { used: 7, demandPerSecond: 1 } })).toBe(
      true,
    );
  });

  it('takes a part that others know of already, and none for what it told just now', async () => {
    const { clock, part } = make(4);
    const busy = { ...alone, usageElsewhere: { used: 0, demandPerSecond: 100 }, hosts: 2 };
    for (let request = 0; request < 8; request++) {
      part.tryAcquire(busy);
    }
    part.report(busy);
    expect(part.ratePerSecond(busy)).toBe(0);
    await clock.advance(800);
    expect(part.ratePerSecond(busy)).toBeGreaterThan(0);
  });
});
