import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { Directory } from '../src/directory.js';
import { FleetView } from '../src/index.js';
import { PeerTable, PEER_TIMEOUT_MILLISECONDS } from '../src/peers/peer-table.js';
import { RegionOverflow } from '../src/region-overflow.js';
import { hostChange, captureEvents } from './fixtures.js';

interface FleetOptions {
  readonly large?: number;
  readonly small?: number;
  readonly region?: string;
  /** Number of large hosts in another region. */
  readonly elsewhere?: number;
}

/** Makes a fleet of live hosts in one region; names begin with `large` or `small`. */
function makeFleet({
  large = 4,
  small = 20,
  region = 'jylland',
  elsewhere = 0,
}: FleetOptions = {}) {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const peers = new PeerTable(clock, log, () => undefined);
  const names = [
    ...Array.from({ length: large }, (_, index) => `large-${index}`),
    ...Array.from({ length: small }, (_, index) => `small-${index}`),
    ...Array.from({ length: elsewhere }, (_, index) => `elsewhere-${index}`),
  ];
  view.replace(
    { revision: 1 },
    names.map((name) =>
      hostChange(1, {
        name,
        region: name.startsWith('elsewhere') ? 'sjaelland' : region,
        capacity: name.startsWith('small') ? 0.27 : 1.35,
        trafficAddress: name,
      }),
    ),
  );
  let sequence = 0;
  const report = (utilization: number, reporting = names, reachesNone = false): void => {
    sequence++;
    const status = { incarnation: 'first', leaving: false, reachesNone, asked: {} };
    for (const name of reporting) {
      peers.update({ ...status, name, sequence, utilization }, 'itself');
    }
  };
  report(0.1);
  const directory = new Directory({
    view,
    peers,
    own: () => undefined,
    reachesNone: () => false,
    overflow: new RegionOverflow({
      clock,
      events: log,
      shiftLimit: { share: 0.15, windowMilliseconds: 2_000 },
    }),
    mayOverflow: (name) => name === 'anywhere.example',
    maxTtlMilliseconds: 5_000,
  });
  const listed = (caller = region): string[] => [
    ...directory.answer({ region: caller }).trafficAddresses,
  ];
  return { clock, peers, names, report, listed, directory };
}

describe('Directory', () => {
  it('lists only the large hosts while they have capacity for all callers', () => {
    const { listed } = makeFleet();
    expect(listed()).toEqual(['large-0', 'large-1', 'large-2', 'large-3']);
  });

  it('lists all hosts once the large ones would be overloaded, with hysteresis', () => {
    const { listed, report, names } = makeFleet();
    report(0.4);
    expect(listed()).toEqual(names);
    report(0.2);
    expect(listed()).toEqual(names);
    report(0.1);
    expect(listed()).toHaveLength(4);
    report(0.2);
    expect(listed()).toHaveLength(4);
  });

  it('lists all hosts if too few are large', () => {
    const { listed, names } = makeFleet({ large: 2, small: 5 });
    expect(listed()).toEqual(names);
  });

  it('lists all hosts if none is larger than the others', () => {
    const { listed, names } = makeFleet({ large: 0, small: 4 });
    expect(listed()).toEqual(names);
  });

  it('omits hosts that timed out', async () => {
    const { clock, peers, listed, report, names } = makeFleet();
    await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    report(
      0.1,
      names.filter((name) => name !== 'large-2'),
    );
    peers.sweep();
    expect(listed()).toEqual(['large-0', 'large-1', 'large-3']);
  });

  it('omits hosts that reach no target, unless there are no others', () => {
    const { listed, report, names } = makeFleet({ large: 0, small: 3 });
    report(0.1, ['small-1'], true);
    expect(listed()).toEqual(['small-0', 'small-2']);
    expect(listed('fyn')).toEqual(['small-0', 'small-2']);
    report(0.1, names, true);
    expect(listed()).toEqual(names);
    report(0.1);
    expect(listed()).toEqual(names);
  });

  it('lists hosts of other regions if the caller’s region has none', () => {
    const { listed } = makeFleet();
    expect(listed('fyn')).toHaveLength(4);
  });

  describe('of a region whose hosts are all short of processor time', () => {
    const name = 'anywhere.example';

    /** Two busy hosts in fyn, and hosts of other regions that report some utilization. */
    async function makeShort(utilization: number) {
      const fleet = makeFleet({ large: 2, small: 0, region: 'fyn', elsewhere: 3 });
      const ask = (caller: string, asked = name): readonly string[] =>
        fleet.directory.answer({ region: 'fyn', name: asked, caller }).trafficAddresses;
      for (let index = 0; index < 300; index++) {
        await fleet.clock.advance(100);
        fleet.report(0.95, ['large-0', 'large-1']);
        fleet.report(utilization, ['elsewhere-0', 'elsewhere-1', 'elsewhere-2']);
        ask('10.0.0.1');
      }
      const answers = Array.from({ length: 100 }, (_, index) => ask(`10.0.1.${index}`));
      return { ...fleet, ask, answers };
    }

    const isLedAway = (addresses: readonly string[]): boolean =>
      addresses.every((address) => address.startsWith('elsewhere'));

    it('names the hosts of others to a part of the callers, and the same ones again', async () => {
      const { answers, ask } = await makeShort(0.2);
      const led = answers.filter(isLedAway).length;
      expect(led).toBeGreaterThan(60);
      expect(led).toBeLessThan(95);
      const again = answers.map((_, index) => ask(`10.0.1.${index}`));
      expect(again).toEqual(answers);
    });

    it('names them to none whose host name has homes', async () => {
      const { answers, ask } = await makeShort(0.2);
      const others = answers.map((_, index) => ask(`10.0.1.${index}`, 'home.example'));
      expect(others.some(isLedAway)).toBe(false);
    });

    it.each([0.9, -1, 40, Number.NaN])(
      'names none while the others report %d',
      async (reported) => {
        const { answers } = await makeShort(reported);
        expect(answers.some(isLedAway)).toBe(false);
      },
    );
  });
});
