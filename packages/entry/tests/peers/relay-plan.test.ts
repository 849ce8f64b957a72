import { FakeClock } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import type { EntryHostRecord } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import { PeerTable, PEER_TIMEOUT_MILLISECONDS } from '../../src/peers/peer-table.js';
import { RelayPlan } from '../../src/peers/relay-plan.js';
import { hostChange, captureEvents } from '../fixtures.js';

interface PlannedFleet {
  readonly domains: number;
  readonly hostsPerDomain: number;
  /** Region of each failure domain; `jylland` where nothing is said. */
  readonly regions?: Readonly<Record<string, string>>;
}

/** Hosts of domains `d0`, `d1`, ..., named after their domain; the last of each can carry most. */
function makeHosts({
  domains,
  hostsPerDomain,
  regions = {},
}: PlannedFleet): Partial<EntryHostRecord>[] {
  return Array.from({ length: domains * hostsPerDomain }, (_, index) => {
    const domain = `d${Math.floor(index / hostsPerDomain)}`;
    const place = index % hostsPerDomain;
    const name = `${domain}-h${place}`;
    const capacity = place >= hostsPerDomain - 2 ? 1.35 : 0.27;
    const region = regions[domain] ?? 'jylland';
    return { name, incarnation: `start of ${name}`, failureDomain: domain, region, capacity };
  });
}

function makePlan(fleet: PlannedFleet, ownName: string) {
  const clock = new FakeClock();
  const { log } = captureEvents();
  const view = new FleetView();
  const hosts = makeHosts(fleet);
  view.replace(
    { revision: 1 },
    hosts.map((host) => hostChange(1, host)),
  );
  const peers = new PeerTable(clock, log, () => undefined);
  const records = view.records('entryHost').map(({ host }) => host);
  const own = records.find(({ name }) => name === ownName);
  if (own === undefined) {
    throw new Error(`no host ${ownName}`);
  }
  const plan = new RelayPlan({ clock, view, peers, own });
  const hear = (isHeard: (name: string) => boolean): void => {
    for (const { name, incarnation } of records.filter((host) => isHeard(host.name))) {
      const sequence = (peers.get(name)?.sequence ?? 0) + 1;
      peers.update(
        { name, incarnation, sequence, leaving: false, utilization: 0, asked: {} },
        'itself',
      );
    }
  };
  return { clock, peers, plan, hear };
}

/** Waits until every host has either been heard just now or counts as silent. */
async function settle({ clock, peers, plan, hear }: ReturnType<typeof makePlan>, dead: string[]) {
  plan.recipients(false);
  await clock.advance(PEER_TIMEOUT_MILLISECONDS + 1);
  hear((name) => !dead.includes(name));
  peers.sweep();
}

/** The plan's recipients, members and foreign relays each as a whole. */
function recipientsOf(plan: RelayPlan, isUrgent: boolean) {
  const recipients = plan.recipients(isUrgent);
  const {
    activeMembers: askingMembers,
    idleMembers: quietMembers,
    sameRegionRelays: nearRelays,
    otherRegionRelays: farRelays,
  } = recipients;
  return {
    ...recipients,
    members: [...askingMembers, ...quietMembers],
    foreignRelays: [...nearRelays, ...farRelays],
  };
}

const names = (hosts: readonly EntryHostRecord[]): string[] => hosts.map(({ name }) => name).sort();

describe('RelayPlan', () => {
  it('has a member report to the two hosts of its domain that carry most', async () => {
    const fleet = makePlan({ domains: 3, hostsPerDomain: 5 }, 'd0-h0');
    await settle(fleet, []);
    const {
      isRelay,
      reportRecipients: reports,
      members,
      foreignRelays,
    } = recipientsOf(fleet.plan, true);
    expect(isRelay).toBe(false);
    expect(names(reports)).toEqual(['d0-h3', 'd0-h4']);
    expect([...members, ...foreignRelays]).toEqual([]);
  });

  it('has a relay tell its members and the other domains’ relays', async () => {
    const fleet = makePlan({ domains: 3, hostsPerDomain: 5 }, 'd0-h4');
    await settle(fleet, []);
    const {
      isRelay,
      reportRecipients: reports,
      members,
      foreignRelays,
    } = recipientsOf(fleet.plan, true);
    expect(isRelay).toBe(true);
    expect(names(reports)).toEqual(['d0-h3']);
    expect(names(members)).toEqual(['d0-h0', 'd0-h1', 'd0-h2']);
    expect(names(foreignRelays)).toEqual(['d1-h3', 'd1-h4', 'd2-h3', 'd2-h4']);
  });

  it('tells each foreign relay in every second round where nothing is urgent', async () => {
    const fleet = makePlan({ domains: 3, hostsPerDomain: 5 }, 'd0-h4');
    await settle(fleet, []);
    const rounds = Array.from({ length: 4 }, () =>
      names(recipientsOf(fleet.plan, false).foreignRelays),
    );
    const all = ['d1-h3', 'd1-h4', 'd2-h3', 'd2-h4'];
    for (const [index, told] of rounds.slice(1).entries()) {
      expect([...told, ...(rounds[index] ?? [])].sort()).toEqual(all);
    }
  });

  it('shares the foreign relays out between the relays of a domain', async () => {
    const told = [];
    for (const own of ['d0-h3', 'd0-h4']) {
      const fleet = makePlan({ domains: 2, hostsPerDomain: 5 }, own);
      await settle(fleet, []);
      told.push(...recipientsOf(fleet.plan, false).foreignRelays);
    }
    expect(names(told)).toEqual(['d1-h3', 'd1-h4']);
  });

  it('tells every foreign relay each round where it is the only relay of its domain', async () => {
    const fleet = makePlan({ domains: 2, hostsPerDomain: 1 }, 'd0-h0');
    await settle(fleet, []);
    for (let round = 0; round < 3; round++) {
      expect(names(recipientsOf(fleet.plan, false).foreignRelays)).toEqual(['d1-h0']);
    }
  });

  it('replaces a relay that falls silent, at home and elsewhere', async () => {
    const fleet = makePlan({ domains: 2, hostsPerDomain: 3 }, 'd0-h1');
    await settle(fleet, ['d0-h2', 'd1-h2']);
    const { reportRecipients: reports, foreignRelays } = recipientsOf(fleet.plan, true);
    expect(names(reports)).toEqual(['d0-h0']);
    expect(names(foreignRelays)).toEqual(['d1-h0', 'd1-h1']);
  });

  it('tries each host of a domain in turn of which none is heard', async () => {
    const fleet = makePlan({ domains: 2, hostsPerDomain: 3 }, 'd0-h2');
    await settle(fleet, ['d1-h0', 'd1-h1', 'd1-h2']);
    const rounds = Array.from({ length: 3 }, () => recipientsOf(fleet.plan, false).foreignRelays);
    expect(names(rounds.flat())).toEqual(['d1-h0', 'd1-h1', 'd1-h2']);
  });

  it('tells its whole domain while it hears nobody there', () => {
    const { plan } = makePlan({ domains: 2, hostsPerDomain: 4 }, 'd0-h0');
    expect(names(recipientsOf(plan, false).reportRecipients)).toEqual(['d0-h1', 'd0-h2', 'd0-h3']);
  });

  it('tells members that have requests apart from those that have none', async () => {
    const fleet = makePlan({ domains: 2, hostsPerDomain: 5 }, 'd0-h4');
    await settle(fleet, []);
    const asking = fleet.peers.get('d0-h1');
    expect(asking).toBeDefined();
    if (asking !== undefined) {
      const asked = { 'verdict-api': 0.5 };
      fleet.peers.update({ ...asking, sequence: asking.sequence + 1, asked }, 'itself');
    }
    const { activeMembers: askingMembers, idleMembers: quietMembers } =
      fleet.plan.recipients(false);
    expect(names(askingMembers)).toEqual(['d0-h1']);
    expect(names(quietMembers)).toEqual(['d0-h0', 'd0-h2']);
  });

  it('tells relays of its own region apart from those of others', async () => {
    const regions = { d0: 'jylland', d1: 'jylland', d2: 'fyn' };
    const fleet = makePlan({ domains: 3, hostsPerDomain: 3, regions }, 'd0-h2');
    await settle(fleet, []);
    const { sameRegionRelays: nearRelays, otherRegionRelays: farRelays } =
      fleet.plan.recipients(true);
    expect(names(nearRelays)).toEqual(['d1-h1', 'd1-h2']);
    expect(names(farRelays)).toEqual(['d2-h1', 'd2-h2']);
  });

  it('sends each host far fewer messages than there are hosts', async () => {
    const size = { domains: 6, hostsPerDomain: 15 };
    const counts = [];
    for (const own of ['d0-h0', 'd0-h14']) {
      const fleet = makePlan(size, own);
      await settle(fleet, []);
      const { reportRecipients: reports, members, foreignRelays } = recipientsOf(fleet.plan, true);
      counts.push(reports.length + members.length + foreignRelays.length);
    }
    expect(counts).toEqual([2, 1 + 13 + 10]);
  });
});
