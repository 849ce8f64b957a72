import { FakeClock, WordFleet } from '@ferrylock/test-utils';
import type { FleetArrival, TargetConduct } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

/**
 * Guards against requests to targets that have requested a back-off ("rest") through Retry-After or
 * have announced their shutdown.
 */

const TEST_MILLISECONDS = 120_000;
const SETTLE_MILLISECONDS = 4_000;
const OBJECTS = 72;
const LOOK_UPS_PER_SECOND = 290;
const ONE_WAY_MILLISECONDS = 35;
const REST_MILLISECONDS = 3_000;
/** Time in which requests may still arrive that were sent before the host received the signal. */
const IN_FLIGHT_MILLISECONDS = 500;
/** Time for which a draining target keeps serving. */
const DRAIN_MILLISECONDS = 2_500;
const EPISODE = { from: 8_000, until: 16_000, endAt: 20_000 };
const RESTING_TARGETS = 6;

async function setUp(conduct: TargetConduct, hosts = 10, targets = 20): Promise<Simulation> {
  const clock = new FakeClock();
  const fleet = new WordFleet({
    clock,
    hosts,
    domains: 6,
    targets,
    seed: 1,
    wayMilliseconds: ONE_WAY_MILLISECONDS,
    conduct,
  });
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, fleet };
}

interface Simulation {
  readonly clock: FakeClock;
  readonly fleet: WordFleet;
}

async function requestUntilEnd({ clock, fleet }: Simulation): Promise<void> {
  for (let object = 0; object < OBJECTS; object++) {
    void fleet.call(`object-${object}`, LOOK_UPS_PER_SECOND / OBJECTS, EPISODE.endAt);
  }
  await clock.advance(EPISODE.endAt + 2_000 - clock.now());
}

const isInEpisode = ({ at }: Pick<FleetArrival, 'at'>): boolean =>
  at >= EPISODE.from && at < EPISODE.until;

describe('targets that request rest', { timeout: TEST_MILLISECONDS }, () => {
  it.each([
    ['ten hosts', 10, 20],
    ['65 hosts', 65, 60],
  ])(
    'receive nothing from a host of which they requested it, at %s',
    async (_case, hosts, targets) => {
      const resting = new Set<string>();
      const simulation = await setUp(
        (arrival) =>
          resting.has(arrival.target) && isInEpisode(arrival)
            ? { restMilliseconds: REST_MILLISECONDS }
            : undefined,
        hosts,
        targets,
      );
      for (const target of simulation.fleet.targets.slice(0, RESTING_TARGETS)) {
        resting.add(target);
      }
      await requestUntilEnd(simulation);
      const restReplies = simulation.fleet.arrivals.all.filter(
        ({ reply }) => reply.restMilliseconds,
      );
      expect(restReplies.length).toBeGreaterThan(RESTING_TARGETS);
      expect(simulation.fleet.arrivals.mostInOneRest(IN_FLIGHT_MILLISECONDS)).toBe(0);
    },
  );

  it('receive nothing from one such host of twelve, while the others continue', async () => {
    const restedHost = 'host-3';
    let resting = '';
    const simulation = await setUp(
      (arrival) =>
        arrival.target === resting && arrival.host === restedHost && isInEpisode(arrival)
          ? { restMilliseconds: REST_MILLISECONDS }
          : undefined,
      12,
    );
    resting = simulation.fleet.targets[0] ?? '';
    await requestUntilEnd(simulation);
    expect(simulation.fleet.arrivals.mostInOneRest(IN_FLIGHT_MILLISECONDS)).toBe(0);
    const fromOthers = simulation.fleet.arrivals.all.filter(
      (arrival) =>
        arrival.target === resting && arrival.host !== restedHost && isInEpisode(arrival),
    );
    expect(fromOthers.length).toBeGreaterThan(10);
  });

  it('receive nothing if the whole service rests, and resume afterwards', async () => {
    const simulation = await setUp((arrival) =>
      isInEpisode(arrival) ? { restMilliseconds: REST_MILLISECONDS } : undefined,
    );
    await requestUntilEnd(simulation);
    expect(simulation.fleet.arrivals.mostInOneRest(IN_FLIGHT_MILLISECONDS)).toBe(0);
    const after = simulation.fleet.arrivals.all.filter(
      ({ at }) => at > EPISODE.until + REST_MILLISECONDS && at < EPISODE.endAt,
    );
    expect(new Set(after.map(({ target }) => target)).size).toBe(20);
  });
});

describe('targets that announce their shutdown', { timeout: TEST_MILLISECONDS }, () => {
  it('receive nothing after their drain time although their record says ready', async () => {
    const leaving = new Set<string>();
    const simulation = await setUp((arrival) =>
      leaving.has(arrival.target) && arrival.at >= EPISODE.from ? { isLeaving: true } : undefined,
    );
    for (const target of simulation.fleet.targets.slice(0, RESTING_TARGETS)) {
      leaving.add(target);
    }
    await requestUntilEnd(simulation);
    expect(simulation.fleet.arrivals.all.some(({ reply }) => reply.isLeaving === true)).toBe(true);
    expect(simulation.fleet.arrivals.sentAfterLeaving(DRAIN_MILLISECONDS)).toBe(0);
  });
});
