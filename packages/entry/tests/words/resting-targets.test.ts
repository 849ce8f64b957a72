import { FakeClock, WordFleet } from '@ferrylock/test-utils';
import type { FleetArrival, TargetConduct } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

/**
 * An incident. On a deployment of ten hosts and twenty targets of one look-up service, six targets in two regions turned
 * away all that reached them for eight seconds, each time asking the host for 3 s of rest. They got on as many requests
 * as before: up to 8 from one host in one rest, where two are bearable, while 20 to 60 look-ups a second were refused to
 * callers and fourteen targets had room.
 *
 * How it came about: a host that is turned away leaves the target alone for 100 ms and then chooses it again, since
 * nothing is running there and it is first for a third of the objects.
 *
 * Cause: what a target asks for in its answer was not read. A refusal for lack of room was one thing, whether the target
 * had no slot at that moment or wanted nothing for seconds; likewise a target's word that it leaves, which only its
 * record could tell.
 *
 * Proved by the hosts' lines: of 454 gaps between a refusal and the next send there by the same host none was between 0
 * and 99 ms, and the median was 268 ms, which rules out a way around a rest that is kept; 77 had left before the refusal
 * came, all within the way there and back.
 *
 * Pattern: 290 look-ups a second for 72 objects, at ten hosts with a way of 35 ms to each target; the
 * figures are the deployment's. All in virtual time and without a network.
 */

const TEST_MILLISECONDS = 120_000;
const SETTLE_MILLISECONDS = 4_000;
const OBJECTS = 72;
const LOOK_UPS_PER_SECOND = 290;
const WAY_MILLISECONDS = 35;
const REST_MILLISECONDS = 3_000;
/** What was on its way, or in the answer's, when the target spoke. */
const UNDER_WAY_MILLISECONDS = 500;
/** How long a target that leaves serves on, by agreement. */
const DRAIN_MILLISECONDS = 2_500;
const EPISODE = { from: 8_000, until: 16_000, endAt: 20_000 };
const RESTING_TARGETS = 6;

async function setUp(conduct: TargetConduct, hosts = 10, targets = 20): Promise<Running> {
  const clock = new FakeClock();
  const fleet = new WordFleet({
    clock,
    hosts,
    domains: 6,
    targets,
    seed: 1,
    wayMilliseconds: WAY_MILLISECONDS,
    conduct,
  });
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, fleet };
}

interface Running {
  readonly clock: FakeClock;
  readonly fleet: WordFleet;
}

async function callUntilEnd({ clock, fleet }: Running): Promise<void> {
  for (let object = 0; object < OBJECTS; object++) {
    void fleet.call(`object-${object}`, LOOK_UPS_PER_SECOND / OBJECTS, EPISODE.endAt);
  }
  await clock.advance(EPISODE.endAt + 2_000 - clock.now());
}

const isInEpisode = ({ at }: Pick<FleetArrival, 'at'>): boolean =>
  at >= EPISODE.from && at < EPISODE.until;

describe('targets that ask for rest', { timeout: TEST_MILLISECONDS }, () => {
  it.each([
    ['ten hosts', 10, 20],
    ['65 hosts', 65, 60],
  ])('get none from the host that they asked, at %s', async (_case, hosts, targets) => {
    const resting = new Set<string>();
    const running = await setUp(
      (arrival) =>
        resting.has(arrival.target) && isInEpisode(arrival)
          ? { restMilliseconds: REST_MILLISECONDS }
          : undefined,
      hosts,
      targets,
    );
    for (const target of running.fleet.targets.slice(0, RESTING_TARGETS)) {
      resting.add(target);
    }
    await callUntilEnd(running);
    const rested = running.fleet.arrivals.all.filter(({ reply }) => reply.restMilliseconds);
    expect(rested.length).toBeGreaterThan(RESTING_TARGETS);
    expect(running.fleet.arrivals.mostInOneRest(UNDER_WAY_MILLISECONDS)).toBe(0);
  });

  it('get none also where one of twelve hosts is asked, and the others go on', async () => {
    const asked = 'host-3';
    let resting = '';
    const running = await setUp(
      (arrival) =>
        arrival.target === resting && arrival.host === asked && isInEpisode(arrival)
          ? { restMilliseconds: REST_MILLISECONDS }
          : undefined,
      12,
    );
    resting = running.fleet.targets[0] ?? '';
    await callUntilEnd(running);
    expect(running.fleet.arrivals.mostInOneRest(UNDER_WAY_MILLISECONDS)).toBe(0);
    const ofOthers = running.fleet.arrivals.all.filter(
      (arrival) => arrival.target === resting && arrival.host !== asked && isInEpisode(arrival),
    );
    expect(ofOthers.length).toBeGreaterThan(10);
  });

  it('get none where all of the service ask, and work again once they do not', async () => {
    const running = await setUp((arrival) =>
      isInEpisode(arrival) ? { restMilliseconds: REST_MILLISECONDS } : undefined,
    );
    await callUntilEnd(running);
    expect(running.fleet.arrivals.mostInOneRest(UNDER_WAY_MILLISECONDS)).toBe(0);
    const after = running.fleet.arrivals.all.filter(
      ({ at }) => at > EPISODE.until + REST_MILLISECONDS && at < EPISODE.endAt,
    );
    expect(new Set(after.map(({ target }) => target)).size).toBe(20);
  });
});

describe('targets that say that they leave', { timeout: TEST_MILLISECONDS }, () => {
  it('get nothing that is sent later than they serve on, though their record says ready', async () => {
    const leaving = new Set<string>();
    const running = await setUp((arrival) =>
      leaving.has(arrival.target) && arrival.at >= EPISODE.from ? { isLeaving: true } : undefined,
    );
    for (const target of running.fleet.targets.slice(0, RESTING_TARGETS)) {
      leaving.add(target);
    }
    await callUntilEnd(running);
    expect(running.fleet.arrivals.all.some(({ reply }) => reply.isLeaving === true)).toBe(true);
    expect(running.fleet.arrivals.sentAfterLeaving(DRAIN_MILLISECONDS)).toBe(0);
  });
});
