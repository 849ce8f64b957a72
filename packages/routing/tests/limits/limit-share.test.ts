import { FakeClock, makeLimitedAccount, partOfLimit, QuotaFleet } from '@ferrylock/test-utils';
import { SeededRandom } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { LimitShare } from '../../src/index.js';
import type { LimitView } from '../../src/index.js';

/**
 * Limits of one target, shared by hosts that receive reports up to a second late. The bounds are
 * the accepted excess in any 4 s.
 */
const WINDOW_MILLISECONDS = 4_000;
const TOLERANCE = { factor: 1.5, requests: 5 };
const DEMAND_PER_SECOND = 14.5;
const SETTLE_MILLISECONDS = 8_000;
const MEASURED_MILLISECONDS = 30_000;
const MIN_UTILIZATION = 0.85;
const SEEDS = 200;
const SURGE_SEEDS = 12;

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

const maxAccepted = (perSecond: number): number =>
  (TOLERANCE.factor * perSecond * WINDOW_MILLISECONDS) / 1_000 + TOLERANCE.requests;
const evenly = (hosts: number): number[] => Array.from({ length: hosts }, () => 1);
const atOneHost = (hosts: number, selected: number): number[] =>
  Array.from({ length: hosts }, (_, host) => Number(host === selected % hosts));

/** Runs the simulation and returns the admitted requests as a share of the limit. */
function utilizationDuring(fleet: QuotaFleet, perSecond: number, simulate: () => void): number {
  const before = { ran: fleet.ran.length, at: fleet.now() };
  simulate();
  const seconds = (fleet.now() - before.at) / 1_000;
  return (fleet.ran.length - before.ran) / (perSecond * seconds);
}

const SIZES = [12, 75, 195];
const LIMITS = [1, 2.5, 4.9];
const CASES = SIZES.flatMap((hosts) => LIMITS.map((perSecond) => ({ hosts, perSecond })));

describe.each(CASES)('limit of $perSecond per second on $hosts hosts', ({ hosts, perSecond }) => {
  /**
   * Simulates steady demand; returns the utilization of the limit and the maximum in any window.
   */
  function simulateSteadyDemand(parts: readonly number[]) {
    const fleet = makeFleet(hosts, perSecond);
    fleet.ask(DEMAND_PER_SECOND, parts);
    fleet.run(SETTLE_MILLISECONDS);
    const used = utilizationDuring(fleet, perSecond, () => {
      fleet.run(MEASURED_MILLISECONDS);
    });
    return { used, most: fleet.mostIn(WINDOW_MILLISECONDS) };
  }

  it('is not exceeded with even demand', () => {
    expect(simulateSteadyDemand(evenly(hosts)).most).toBeLessThanOrEqual(maxAccepted(perSecond));
  });

  it('is used with even demand', () => {
    expect(simulateSteadyDemand(evenly(hosts)).used).toBeGreaterThanOrEqual(MIN_UTILIZATION);
  });

  it('is not exceeded with demand at one host', () => {
    const { used, most } = simulateSteadyDemand(atOneHost(hosts, 3));
    expect(used).toBeLessThanOrEqual(1.02);
    expect(most).toBeLessThanOrEqual(Math.ceil(4 * perSecond) + 1);
  });

  it('is used with demand at one host', () => {
    expect(simulateSteadyDemand(atOneHost(hosts, 3)).used).toBeGreaterThanOrEqual(MIN_UTILIZATION);
  });
});

describe('limit under faults and changing demand', () => {
  it.each([
    ['a surge to seven times the demand', 12],
    ['a surge to seven times the demand', 75],
    ['a surge to seven times the demand', 195],
  ])('is not exceeded in %s on %i hosts', (_case, hosts) => {
    const fleet = makeFleet(hosts, 2.5);
    fleet.ask(DEMAND_PER_SECOND, evenly(hosts));
    fleet.run(SETTLE_MILLISECONDS);
    fleet.ask(7 * DEMAND_PER_SECOND, evenly(hosts));
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(maxAccepted(2.5));
  });

  it.each([12, 75, 195])(
    'is not exceeded in surges to seven times the demand with any seed on %i hosts',
    (hosts) => {
      const befores: Readonly<Record<string, (fleet: QuotaFleet) => void>> = {
        'from ordinary demand': (fleet) => {
          fleet.ask(DEMAND_PER_SECOND, evenly(hosts));
          fleet.run(SETTLE_MILLISECONDS);
        },
        'after a pause': (fleet) => {
          fleet.ask(DEMAND_PER_SECOND, evenly(hosts));
          fleet.run(SETTLE_MILLISECONDS);
          fleet.ask(0, evenly(hosts));
          fleet.run(SETTLE_MILLISECONDS);
        },
        'from one host': (fleet) => {
          fleet.ask(DEMAND_PER_SECOND, atOneHost(hosts, 3));
          fleet.run(SETTLE_MILLISECONDS);
        },
      };
      const exceeded = Object.entries(befores).flatMap(([name, before]) =>
        Array.from({ length: SURGE_SEEDS }, (_, index) => index + 1)
          .filter((seed) => {
            const fleet = makeFleet(hosts, 1, seed);
            before(fleet);
            fleet.ask(7 * DEMAND_PER_SECOND, evenly(hosts));
            fleet.run(SETTLE_MILLISECONDS);
            return fleet.mostIn(WINDOW_MILLISECONDS) > maxAccepted(1);
          })
          .map((seed) => `${name}, seed ${seed}`),
      );
      expect(exceeded).toEqual([]);
    },
  );

  it.each([[12], [75], [300]])(
    'is not exceeded when callers arrive at %i idle hosts at once',
    (hosts) => {
      const fleet = makeFleet(hosts, 1);
      fleet.ask(0, evenly(hosts));
      fleet.run(3 * SETTLE_MILLISECONDS);
      fleet.ask(7 * DEMAND_PER_SECOND, evenly(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(maxAccepted(1));
    },
  );

  it.each([
    [12, 1],
    [12, 4.9],
    [75, 1],
    [75, 4.9],
    [195, 1],
  ])(
    'is not exceeded when callers leave %i hosts and return in a surge, %d per second',
    (hosts, perSecond) => {
      const fleet = makeFleet(hosts, perSecond);
      fleet.ask(DEMAND_PER_SECOND, evenly(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      fleet.ask(0, evenly(hosts));
      fleet.run(2 * SETTLE_MILLISECONDS);
      fleet.ask(7 * DEMAND_PER_SECOND, evenly(hosts));
      fleet.run(SETTLE_MILLISECONDS);
      expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(maxAccepted(perSecond));
    },
  );

  it('takes effect one window after it is lowered, and soon after it is raised', () => {
    const fleet = makeFleet(12, 4);
    fleet.ask(DEMAND_PER_SECOND, evenly(12));
    fleet.run(SETTLE_MILLISECONDS);
    fleet.setAccount({ ...makeLimitedAccount(1), burst: 0 });
    fleet.run(WINDOW_MILLISECONDS);
    fleet.ran.length = 0;
    fleet.run(SETTLE_MILLISECONDS);
    expect(fleet.mostIn(WINDOW_MILLISECONDS)).toBeLessThanOrEqual(maxAccepted(1));
    fleet.setAccount({ ...makeLimitedAccount(4), burst: 0 });
    fleet.run(WINDOW_MILLISECONDS);
    const used = utilizationDuring(fleet, 4, () => {
      fleet.run(SETTLE_MILLISECONDS);
    });
    expect(used).toBeGreaterThan(0.8);
  });

  it(`is not exceeded in ${SEEDS} sequences of crashes, partitions, restarts, surges and moves`, () => {
    const exceeded = Array.from({ length: SEEDS }, (_, index) => index + 1).filter((seed) => {
      const random = new SeededRandom(seed);
      const perSecond = 1 + 4 * random.next();
      const fleet = makeFleet(12, perSecond, seed);
      fleet.ask(DEMAND_PER_SECOND, evenly(12));
      fleet.run(SETTLE_MILLISECONDS);
      for (let step = 0; step < 4; step++) {
        injectFault(fleet, random);
        fleet.run(1_000 + WINDOW_MILLISECONDS * random.next());
      }
      // The total counts, also while single hosts are partitioned or restarted.
      return fleet.mostIn(WINDOW_MILLISECONDS) > maxAccepted(perSecond);
    });
    expect(exceeded).toEqual([]);
  });
});

function injectFault(fleet: QuotaFleet, random: SeededRandom): void {
  const selected = Math.floor(12 * random.next());
  const faults = [
    () => {
      fleet.ask(DEMAND_PER_SECOND, atOneHost(12, selected));
    },
    () => {
      fleet.ask(3 * DEMAND_PER_SECOND, evenly(12));
    },
    () => {
      fleet.cut((host) => host % 3 === selected % 3);
    },
    () => {
      fleet.cut(() => false);
    },
    () => {
      fleet.kill((host) => host % 4 === selected % 4);
      fleet.run(1_000);
      fleet.restart();
    },
  ];
  faults[Math.floor(faults.length * random.next())]?.();
}

describe('LimitShare', () => {
  const alone: LimitView = {
    usageElsewhere: { used: 0, demandPerSecond: 0 },
    visibleHostShare: 1,
    hosts: 1,
    place: () => 0,
  };

  function make(perSecond: number) {
    const clock = new FakeClock();
    return { clock, share: new LimitShare(clock, new SeededRandom(1), perSecond) };
  }

  it('lets a single host use the whole limit, even a very large one', async () => {
    const { clock, share } = make(1_000_000);
    let sent = 0;
    for (let step = 0; step < 100; step++) {
      await clock.advance(10);
      share.report(alone);
      for (let request = 0; request < 50; request++) {
        sent += Number(share.tryAcquire(alone));
      }
    }
    expect(sent).toBe(5_000);
  });

  it('gets back released requests', async () => {
    const { clock, share } = make(0.2);
    await clock.advance(10_000);
    expect(share.tryAcquire(alone)).toBe(true);
    expect(share.tryAcquire(alone)).toBe(false);
    share.release();
    expect(share.used).toBe(0);
    expect(share.tryAcquire(alone)).toBe(true);
  });

  it('admits nothing while peers use up the limit, and reports the time to wait', async () => {
    const { clock, share } = make(2);
    await clock.advance(10_000);
    const usedUp = { ...alone, usageElsewhere: { used: 8, demandPerSecond: 1 }, hosts: 2 };
    expect(share.tryAcquire(usedUp)).toBe(false);
    expect(share.waitMilliseconds(usedUp)).toBeGreaterThanOrEqual(500);
    expect(share.tryAcquire({ ...usedUp, usageElsewhere: { used: 7, demandPerSecond: 1 } })).toBe(
      true,
    );
  });

  it('claims demand only after peers have received its report', async () => {
    const { clock, share } = make(4);
    const busy = { ...alone, usageElsewhere: { used: 0, demandPerSecond: 100 }, hosts: 2 };
    for (let request = 0; request < 8; request++) {
      share.tryAcquire(busy);
    }
    share.report(busy);
    expect(share.ratePerSecond(busy)).toBe(0);
    await clock.advance(800);
    expect(share.ratePerSecond(busy)).toBeGreaterThan(0);
  });
});
