import { memberKey } from '@ferrylock/control';
import { randomIndex } from '@ferrylock/utils';
import type { ControlFleet, ControlNode } from '@ferrylock/test-utils';
import { startFleet } from '../fleet-costs.js';
import { percentile } from '../percentile.js';
import type { Bench, Row } from '../report.js';
import { rounded } from '../report.js';

const HOSTS_PER_DOMAIN = [2, 10, 25, 45];
const DEATHS = 3;
const LONGEST_SECONDS = 60;
const NOISY_SECONDS = 60;
const PAUSE_MILLISECONDS = 200;
const PAUSE_EVERY_MILLISECONDS = 1_000;

function peersOf(fleet: ControlFleet, node: ControlNode): ControlNode[] {
  const domain = node.membership.self.failureDomain;
  return fleet.nodes.filter((other) => other.membership.self.failureDomain === domain);
}

/** Kills a host and tells when each of its peers no longer takes it for serving. */
async function timeToNotice(fleet: ControlFleet, victim: ControlNode): Promise<number[]> {
  const key = memberKey(victim.membership.self);
  const peers = peersOf(fleet, victim).filter((node) => node !== victim);
  fleet.kill(victim);
  const startedAt = fleet.clock.now();
  const noticed = new Map<ControlNode, number>();
  while (noticed.size < peers.length && fleet.clock.now() - startedAt < LONGEST_SECONDS * 1_000) {
    await fleet.clock.advance(100);
    for (const peer of peers) {
      const state = peer.membership.members.get(key)?.state ?? 'dead';
      if (!noticed.has(peer) && state === 'dead') {
        noticed.set(peer, fleet.clock.now() - startedAt);
      }
    }
  }
  return [...noticed.values()];
}

/** Under loss and pauses: members wrongly suspected, and wrongly taken for dead. */
async function countMistakes(fleet: ControlFleet): Promise<{ suspected: number; dead: number }> {
  fleet.network.faults.lossShare = 0.01;
  const suspected = new Set<string>();
  const dead = new Set<string>();
  for (let elapsed = 0; elapsed < NOISY_SECONDS * 1_000; elapsed += PAUSE_EVERY_MILLISECONDS) {
    const paused = fleet.node(randomIndex(fleet.random, fleet.nodes.length));
    paused.process.pause();
    await fleet.clock.advance(PAUSE_MILLISECONDS);
    paused.process.resume();
    await fleet.clock.advance(PAUSE_EVERY_MILLISECONDS - PAUSE_MILLISECONDS);
    for (const node of fleet.nodes) {
      for (const member of node.membership.members.all()) {
        if (member.state === 'suspect') {
          suspected.add(`${memberKey(member)} ${member.version}`);
        } else if (member.state === 'dead') {
          dead.add(memberKey(member));
        }
      }
    }
  }
  return { suspected: suspected.size, dead: dead.size };
}

/** How soon a dead host is noticed, and how often a live one is wronged. */
export const membership: Bench = async ({ seed, progress }) => {
  const rows: Row[] = [];
  for (const hostsPerDomain of HOSTS_PER_DOMAIN) {
    progress(`${hostsPerDomain} hosts a domain …`);
    const size = { domains: 2, hostsPerDomain };
    const quiet = await startFleet(size, seed);
    const times: number[] = [];
    for (let death = 0; death < Math.min(DEATHS, hostsPerDomain - 1); death++) {
      times.push(...(await timeToNotice(quiet, quiet.node(0))));
    }
    quiet.stop();
    const noisy = await startFleet(size, seed);
    const mistakes = await countMistakes(noisy);
    noisy.stop();
    rows.push({
      hostsPerDomain,
      noticedP50Ms: rounded(percentile(times, 0.5)),
      noticedLastMs: rounded(Math.max(...times)),
      wronglySuspected: mistakes.suspected,
      wronglyDead: mistakes.dead,
    });
  }
  return {
    setup: {
      transport: 'in memory',
      noisySeconds: NOISY_SECONDS,
      lossPercent: 1,
      pauseMs: PAUSE_MILLISECONDS,
      pausesPerSecond: 1,
    },
    rows,
    targets: [],
  };
};
