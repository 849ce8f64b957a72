import type { DisabledMechanisms } from '@ferrylock/routing';
import { EntryFleet, FakeClock } from '@ferrylock/test-utils';
import type { Bench, Row } from '../report.js';
import { atMost } from '../report.js';

/** What hosts make of a store that comes back from a copy. The last is what they do. */
const CHOSEN = 'lives, kept records, in turns';
const WAYS: Readonly<Record<string, DisabledMechanisms>> = {
  'revisions alone, as before': new Set(['store-lives', 'reading-in-turns']),
  'revisions alone, with a pause': new Set(['store-lives']),
  'lives, a new view in each': new Set(['kept-records']),
  'lives, kept records, each reads': new Set(['reading-in-turns']),
  [CHOSEN]: new Set(),
};
const SIZES = [12, 75, 300];
const DOMAINS = 6;
const SETTLE_MILLISECONDS = 6_000;
const AWAY_MILLISECONDS = 1_500;
/** Others begin to write again what they had written this long after the return. */
const WRITTEN_AGAIN_MILLISECONDS = 1_000;
const NEXT_CHANGE_MILLISECONDS = 2_000;
const PLAYED_MILLISECONDS = 12_000;
const SAMPLE_MILLISECONDS = 20;
/** Confirmed after the copy was taken, and before the store went away. */
const LOST_VERSIONS = [4, 5, 6];
const NEWEST_LOST = 6;
const NEXT_VERSION = 7;
/** By when a change is to be in force everywhere. */
const IN_FORCE_MILLISECONDS = 2_000;
const BYTES_PER_KILOBYTE = 1_000;

interface Played {
  /** From the next change to its being in force at all hosts; infinite where it never was. */
  readonly inForceMilliseconds: number;
  /** Hosts that were seen with an older configuration than they had had. */
  readonly wentBack: number;
  /** Hosts that somebody did not know of, at the worst moment. */
  readonly leftOut: number;
  readonly listings: number;
  readonly listedKilobytes: number;
  readonly callKilobytes: number;
  readonly datagramKilobytes: number;
  readonly storeWrites: number;
  readonly storeLooks: number;
}

async function play(hosts: number, leftOut: DisabledMechanisms, seed: number): Promise<Played> {
  const clock = new FakeClock();
  const fleet = new EntryFleet({
    clock,
    hosts,
    domains: DOMAINS,
    largeHostsPerDomain: 2,
    targetsPerService: 20,
    services: 3,
    seed,
    disabledMechanisms: leftOut,
  });
  fleet.start();
  await clock.advance(SETTLE_MILLISECONDS);
  const copy = fleet.store.takeCopy();
  fleet.addHost();
  await clock.advance(NEXT_CHANGE_MILLISECONDS);
  LOST_VERSIONS.forEach((version) => {
    fleet.configure(version);
  });
  await clock.advance(1_000);
  const before = { ...fleet.counts, ...fleet.store.calls };
  const listingBytes = JSON.stringify([...copy.entries.values()]).length;
  fleet.store.setAway(true);
  await clock.advance(AWAY_MILLISECONDS);
  const writeAgain = fleet.store.restore(copy);
  fleet.store.setAway(false);
  clock.after(WRITTEN_AGAIN_MILLISECONDS, writeAgain);
  clock.after(NEXT_CHANGE_MILLISECONDS, () => {
    fleet.configure(NEXT_VERSION);
  });
  const seen = await watch(clock, fleet);
  const { counts } = fleet;
  const { calls } = fleet.store;
  const listings = calls.list - before.list;
  return {
    ...seen,
    listings,
    listedKilobytes: (listings * listingBytes) / BYTES_PER_KILOBYTE,
    callKilobytes: (counts.callBytes - before.callBytes) / BYTES_PER_KILOBYTE,
    datagramKilobytes: (counts.bytes - before.bytes) / BYTES_PER_KILOBYTE,
    storeWrites: calls.write - before.write,
    storeLooks: calls.find - before.find,
  };
}

async function watch(clock: FakeClock, fleet: EntryFleet) {
  const startedAt = clock.now();
  const wentBack = new Set<string>();
  let inForceAt = Infinity;
  let leftOut = 0;
  while (clock.now() - startedAt < PLAYED_MILLISECONDS) {
    await clock.advance(SAMPLE_MILLISECONDS);
    for (const { member, record } of fleet.hosts) {
      const version = member.state.active?.version ?? 0;
      const held = member.view.records('configuration')[0]?.configuration.version ?? 0;
      if (Math.min(version, held) < NEWEST_LOST) {
        wentBack.add(record.name);
      }
      leftOut = Math.max(leftOut, fleet.hosts.length - member.hostNames.length);
    }
    const isInForce = fleet.hosts.every(
      ({ member }) => member.state.active?.version === NEXT_VERSION,
    );
    inForceAt = isInForce ? Math.min(inForceAt, clock.now() - startedAt) : inForceAt;
  }
  const inForceMilliseconds = inForceAt - NEXT_CHANGE_MILLISECONDS;
  return { inForceMilliseconds, wentBack: wentBack.size, leftOut };
}

function toRow(way: string, hosts: number, played: Played): Row {
  return {
    way,
    hosts,
    'next change in force ms': Number.isFinite(played.inForceMilliseconds)
      ? Math.round(played.inForceMilliseconds)
      : 'never',
    'hosts that went back': played.wentBack,
    'hosts left out': played.leftOut,
    listings: played.listings,
    'listed KB': Math.round(played.listedKilobytes),
    'calls KB': Math.round(played.callKilobytes),
    'datagrams KB a host': Number((played.datagramKilobytes / hosts).toFixed(1)),
    'writing calls': played.storeWrites,
    looks: played.storeLooks,
  };
}

/** A store that comes back from a copy: what of it is in force where, who reads it anew, and what that costs. */
export const storeReturn: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  const chosen: Played[] = [];
  for (const [way, leftOut] of Object.entries(WAYS)) {
    for (const hosts of SIZES) {
      progress(`${way}, ${hosts} hosts`);
      const played = await play(hosts, leftOut, seed);
      rows.push(toRow(way, hosts, played));
      if (way === CHOSEN) {
        chosen.push(played);
      }
    }
  }
  const worst = (figure: (played: Played) => number): number => Math.max(...chosen.map(figure));
  return {
    setup: { sizes: SIZES.join(', '), awayMilliseconds: AWAY_MILLISECONDS, lost: NEWEST_LOST - 3 },
    rows,
    targets: [
      atMost(
        'next change in force',
        IN_FORCE_MILLISECONDS,
        worst((played) => played.inForceMilliseconds),
        'ms',
      ),
      atMost(
        'went back',
        0,
        worst((played) => played.wentBack),
        'hosts',
      ),
      atMost(
        'left out',
        0,
        worst((played) => played.leftOut),
        'hosts',
      ),
    ],
  };
};
