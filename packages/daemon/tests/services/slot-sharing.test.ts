import {
  AllotmentLedger,
  divideLimit,
  listPositions,
  PeerClient,
  PeerRouter,
  SlotLoans,
} from '@ferrylock/control';
import type { Member } from '@ferrylock/control';
import { declarationSchema } from '@ferrylock/schema';
import { DistanceMap, LinkLimits, slotLimitKey } from '@ferrylock/steering';
import { FakeClock, MemoryNetwork, PausableClock, ProcessPause } from '@ferrylock/test-utils';
import { Cancellation, randomIndex, SeededRandom, silentLogger } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import { ServiceRuntime } from '../../src/services/service-runtime.js';

const HOSTS = 4;
const TARGETS = 3;
const SLOTS = 2;
const DEADLINE_MILLISECONDS = 400;

interface Host {
  readonly runtime: ServiceRuntime;
  readonly process: ProcessPause;
}

/** Hosts that share the slots of a few targets, and a count of what is at each target. */
class SharedSlots {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly hosts: Host[];
  readonly inFlight = new Map<string, number>();
  mostInFlight = 0;
  answered = 0;
  refused = 0;

  constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.network = new MemoryNetwork(this.clock, this.random);
    this.hosts = Array.from({ length: HOSTS }, (_, index) => this.#makeHost(index));
  }

  /** One request at a host: it takes a slot, works for a random time, and gives the slot back. */
  async request(host: Host): Promise<void> {
    const deadlineAt = this.clock.now() + DEADLINE_MILLISECONDS;
    const entered = await host.runtime.gate.enter({
      deadlineAt,
      caller: new Cancellation(),
      rank: 0,
      accept: () => true,
      onTaken: () => undefined,
    });
    if (entered.isErr()) {
      this.refused++;
      return;
    }
    const { name } = entered.value;
    const now = (this.inFlight.get(name) ?? 0) + 1;
    this.inFlight.set(name, now);
    this.mostInFlight = Math.max(this.mostInFlight, now);
    const work = this.random.next() * (deadlineAt - this.clock.now());
    await this.clock.sleep(work);
    this.inFlight.set(name, (this.inFlight.get(name) ?? 1) - 1);
    await host.process.wait();
    host.runtime.gate.leave(entered.value, work);
    this.answered++;
  }

  #makeHost(index: number): Host {
    const { random } = this;
    const process = new ProcessPause();
    const clock = new PausableClock(this.clock, process);
    const router = new PeerRouter();
    const peers = new PeerClient(this.network.connect(String(index), router, process));
    const positions = listPositions({
      groupBy: 'all',
      domains: [{ failureDomain: 'd', region: 'r', count: HOSTS }],
    });
    const ownedUnits = (key: string): number =>
      divideLimit({ key, units: SLOTS }, positions).get(index) ?? 0;
    const ledger = new AllotmentLedger(clock, { ownedUnits });
    const members = Array.from({ length: HOSTS }, (_, host) => makeMember(host));
    const slotLoans = new SlotLoans({
      ledger,
      peers,
      clock,
      random,
      logger: silentLogger,
      membership: {
        self: makeMember(index),
        knownPeers: () => members.filter((member) => member.id !== String(index)),
      },
    });
    slotLoans.register(router);
    const entryPlace = { failureDomain: 'd', region: 'r' };
    const declaration = makeDeclaration();
    const rates = {
      usablePerSecond: () => 0,
      lowestPerSecond: () => 0,
      burstShare: () => 1,
      recordDemand: () => undefined,
    };
    const runtime = new ServiceRuntime(
      { account: 'atec', service: 'desk', entryPlace, ledger, slotLoans, clock, random },
      {
        declaration,
        drains: [],
        distances: new DistanceMap(declaration),
        links: new LinkLimits(declaration, rates, clock),
      },
    );
    return { runtime, process };
  }
}

function makeMember(host: number): Member {
  return {
    id: String(host),
    incarnation: 'i',
    controlAddress: String(host),
    trafficAddress: String(host),
    failureDomain: 'd',
    region: 'r',
    state: 'alive',
    version: 0,
  };
}

function makeDeclaration(): ReturnType<typeof declarationSchema.parse> {
  const targets = Array.from({ length: TARGETS }, (_, index) => [
    `t${index}`,
    { address: '127.0.0.1', port: 1, slots: SLOTS, failureDomain: 'd' },
  ]);
  return declarationSchema.parse({
    account: 'atec',
    failureDomains: { d: { region: 'r' } },
    services: {
      desk: {
        repeat: 'free',
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        targets: Object.fromEntries(targets) as Record<string, unknown>,
      },
    },
  });
}

async function runLoad(shared: SharedSlots, seconds: number, busiest: () => number): Promise<void> {
  for (let step = 0; step < seconds * 100; step++) {
    const host = shared.random.next() < 0.7 ? busiest() : randomIndex(shared.random, HOSTS);
    const chosen = shared.hosts[host];
    if (chosen !== undefined && shared.random.next() < 0.4) {
      void shared.request(chosen);
    }
    await shared.clock.advance(10);
  }
}

describe('slots shared by hosts', () => {
  it('know no limit that is not their own: the divided parts add up to the targets’ slots', () => {
    const positions = listPositions({
      groupBy: 'all',
      domains: [{ failureDomain: 'd', region: 'r', count: HOSTS }],
    });
    const parts = divideLimit({ key: slotLimitKey('atec', 'desk', 't0'), units: SLOTS }, positions);
    expect([...parts.values()].reduce((sum, units) => sum + units, 0)).toBe(SLOTS);
  });

  it('go to the host where the requests are', async () => {
    const shared = new SharedSlots(1);
    await runLoad(shared, 20, () => 0);
    expect(shared.mostInFlight).toBeLessThanOrEqual(SLOTS);
    expect(shared.answered).toBeGreaterThan(shared.refused * 4);
  });

  it.each([1, 2, 3, 4, 5])(
    'never give a target more than it has, whatever happens to messages, seed %i',
    async (seed) => {
      const shared = new SharedSlots(seed);
      const { network, random } = shared;
      network.faults.lossShare = 0.1;
      network.faults.duplicateShare = 0.3;
      network.faults.delayMilliseconds = () => random.next() * 80;
      for (let round = 0; round < 12; round++) {
        const busiest = randomIndex(random, HOSTS);
        const paused = shared.hosts[randomIndex(random, HOSTS)];
        paused?.process.pause();
        await runLoad(shared, 1, () => busiest);
        paused?.process.resume();
        await runLoad(shared, 2, () => busiest);
      }
      expect(shared.mostInFlight).toBeLessThanOrEqual(SLOTS);
      expect(shared.answered).toBeGreaterThan(100);
    },
  );
});
