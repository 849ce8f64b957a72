import { FakeClock, fullestLimitWindows, WordFleet } from '@ferrylock/test-utils';
import { beforeAll, describe, expect, it } from 'vitest';

/** Guards against hosts that together exceed the limits which targets advertise in responses. */

const TEST_MILLISECONDS = 240_000;
const SETTLE_MILLISECONDS = 4_000;
const TARGETS = 20;
const OBJECTS = 72;
const LOOK_UPS_PER_SECOND = 290;
const ONE_WAY_MILLISECONDS = 5;
/** Time in which targets advertise limits. */
const EPISODE = { from: 8_000, until: 28_000, endAt: 34_000 };
/** Time after the first advertisement until a limit must be enforced. */
const GRACE_MILLISECONDS = 4_000;
/** Limits of the first targets; the others advertise none. */
const LIMITS = [4.9, 3.2, 1];
/** Share of a limit that must be used if there is enough demand. */
const MIN_USED_SHARE = 0.85;

/** Selects the host at which a request arrives. */
type HostAt = (now: number) => number;

const ALL_HOSTS = undefined;
const ONE_HOST: HostAt = () => 3;
/** Changes the host every eight seconds. */
const MOVING: HostAt = (now) => Math.floor(now / 8_000) % 12;

interface Simulation {
  readonly fleet: WordFleet;
  readonly limits: ReadonlyMap<string, number>;
}

/** @param advertisesLimits - whether targets advertise their limits */
async function simulate(
  hosts: number,
  advertisesLimits: boolean,
  hostAt?: HostAt,
): Promise<Simulation> {
  const clock = new FakeClock();
  const limits = new Map<string, number>();
  const fleet = new WordFleet({
    clock,
    hosts,
    domains: 6,
    targets: TARGETS,
    seed: 1,
    wayMilliseconds: ONE_WAY_MILLISECONDS,
    conduct: ({ target, at }) => {
      const limitPerSecond = limits.get(target);
      const isAdvertised = limitPerSecond !== undefined && at >= EPISODE.from && at < EPISODE.until;
      return isAdvertised && advertisesLimits ? { limitPerSecond } : undefined;
    },
  });
  await clock.advance(SETTLE_MILLISECONDS);
  for (const [index, limit] of LIMITS.entries()) {
    limits.set(fleet.targets[index] ?? '', limit);
  }
  for (let object = 0; object < OBJECTS; object++) {
    void fleet.call(`object-${object}`, LOOK_UPS_PER_SECOND / OBJECTS, EPISODE.endAt, hostAt);
  }
  await clock.advance(EPISODE.endAt + 2_000 - clock.now());
  return { fleet, limits };
}

/** Excess requests in the fullest window of each limited target. */
function excessRequests({ fleet, limits }: Simulation): number[] {
  return [...limits.keys()].map((target) => {
    const windows = fullestLimitWindows(fleet.arrivals.atLimit(target));
    return Math.max(0, ...windows.map(({ fromTold, borne }) => fromTold - borne));
  });
}

/** Requests per second that reach a target while limits must be enforced. */
function rateOf({ arrivals }: WordFleet, target: string): number {
  const from = EPISODE.from + GRACE_MILLISECONDS;
  const within = arrivals.all.filter(
    (arrival) => arrival.target === target && arrival.at >= from && arrival.at < EPISODE.until,
  );
  return (1_000 * within.length) / (EPISODE.until - from);
}

describe('targets with a limit', { timeout: TEST_MILLISECONDS }, () => {
  describe.each([
    ['12 hosts', 12, ALL_HOSTS],
    ['75 hosts', 75, ALL_HOSTS],
    ['195 hosts', 195, ALL_HOSTS],
    ['12 hosts, callers at one host', 12, ONE_HOST],
    ['12 hosts, callers that move between hosts', 12, MOVING],
  ])('at %s', (_case, hosts, hostAt) => {
    let limited: Simulation;

    beforeAll(async () => {
      limited = await simulate(hosts, true, hostAt);
    }, TEST_MILLISECONDS);

    it('receive no more requests than their limit', () => {
      expect(excessRequests(limited)).toEqual(LIMITS.map(() => 0));
      for (const [target, limit] of limited.limits) {
        expect(rateOf(limited.fleet, target)).toBeLessThanOrEqual(limit);
      }
    });

    it('are used up to their limit', async () => {
      const unlimited = await simulate(hosts, false, hostAt);
      for (const [target, limit] of limited.limits) {
        const expected = Math.min(limit, rateOf(unlimited.fleet, target));
        expect(rateOf(limited.fleet, target)).toBeGreaterThanOrEqual(MIN_USED_SHARE * expected);
      }
    });
  });
});
