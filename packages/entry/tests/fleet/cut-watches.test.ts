/**
 * Guards against a call to the store that ends early and is taken for an absence of the store: targets
 * whose records vanish then must not be used beyond the drain time. In a real absence they must be.
 */
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';

const SETTLE_MILLISECONDS = 12_000;
const TARGETS = 9;
/** Seeds to play; more by hand. */
const SEEDS = Array.from({ length: Number(process.env.SEEDS ?? 2) }, (_, index) => index + 1);
/** A request on its way to its target. */
const TRANSIT_MILLISECONDS = 50;

async function startFleet(hosts: number, drainMilliseconds: number, seed = 1) {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts,
    domains: 3,
    largeHostsPerDomain: Math.ceil(hosts / 3),
    targetsPerService: 0,
    services: 1,
    seed,
    drainMilliseconds,
  });
  const targets = fleet.addTargets(TARGETS);
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  return { clock, fleet, targets };
}

/** Number of hosts that still use a target. */
function usersOf({ hosts }: EntryFleet, target: string): number {
  return hosts.filter(({ member }) => member.state.serviceOfTarget(target) !== undefined).length;
}

describe.each([3, 12, 45])('watches that the store cuts, %d hosts', (hosts) => {
  it.each([1_000, 2_000, 2_500, 3_500, 10_000])(
    'keep no target in use beyond the drain time of %d ms',
    async (drain) => {
      const { clock, fleet, targets } = await startFleet(hosts, drain);
      const late: string[] = [];
      for (const [index, target] of targets.slice(0, 6).entries()) {
        fleet.store.cutWatches();
        await clock.advance(index % 2 === 0 ? 50 : 200);
        fleet.store.remove(`targets/${target}`);
        await clock.advance(drain - TRANSIT_MILLISECONDS);
        late.push(...(usersOf(fleet, target) > 0 ? [target] : []));
        await clock.advance(3_370);
      }
      expect(late).toEqual([]);
    },
  );

  it('in series keep no target in use beyond the drain time', async () => {
    const { clock, fleet, targets } = await startFleet(hosts, 2_000);
    const late: string[] = [];
    for (const [index, target] of targets.slice(0, 4).entries()) {
      for (let cut = 0; cut < 20; cut++) {
        fleet.store.cutWatches();
        await clock.advance(100 + 50 * index);
      }
      fleet.store.remove(`targets/${target}`);
      for (let time = 0; time < 2_000 - TRANSIT_MILLISECONDS; time += 150) {
        fleet.store.cutWatches();
        await clock.advance(150);
      }
      late.push(...(usersOf(fleet, target) > 0 ? [target] : []));
      await clock.advance(5_000);
    }
    expect(late).toEqual([]);
  });

  it('do not hold targets of which most leave at once', async () => {
    const { clock, fleet, targets } = await startFleet(hosts, 2_000);
    fleet.store.cutWatches();
    await clock.advance(50);
    targets.slice(0, 5).forEach((target) => fleet.store.remove(`targets/${target}`));
    await clock.advance(2_000 - TRANSIT_MILLISECONDS);
    expect(targets.map((target) => usersOf(fleet, target))).toEqual([
      ...new Array<number>(5).fill(0),
      ...new Array<number>(4).fill(hosts),
    ]);
  });
});

it.each(SEEDS)('cut watches keep no target in use beyond the drain time, seed %d', async (seed) => {
  const { clock, fleet, targets } = await startFleet(24, 2_000, seed);
  const late: string[] = [];
  for (const [index, target] of targets.entries()) {
    fleet.store.cutWatches();
    await clock.advance((37 * (seed + index)) % 260);
    fleet.store.remove(`targets/${target}`);
    await clock.advance(2_000 - TRANSIT_MILLISECONDS);
    late.push(...(usersOf(fleet, target) > 0 ? [target] : []));
    await clock.advance(1_000 + ((173 * index) % 1_000));
  }
  expect(late).toEqual([]);
});

describe('an absence of the store', () => {
  it.each(
    [1_600, 2_600, 5_000, 8_000].flatMap((away) => [2, TARGETS].map((gone) => ({ away, gone }))),
  )('keeps targets in use until they have registered again: %j', async ({ away, gone }) => {
    const { clock, fleet, targets } = await startFleet(3, 2_000);
    fleet.store.setAway(true);
    await clock.advance(away);
    fleet.store.setAway(false);
    targets.slice(0, gone).forEach((target) => fleet.store.remove(`targets/${target}`));
    await clock.advance(1_800);
    expect(targets.map((target) => usersOf(fleet, target))).toEqual(targets.map(() => 3));
  });
});
