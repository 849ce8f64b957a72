import {
  AllotmentLedger,
  divideLimit,
  listPositions,
  PeerClient,
  PeerRouter,
  SlotLoans,
} from '@ferrylock/control';
import type { Member, Position, SlotBorrower } from '@ferrylock/control';
import { declarationSchema } from '@ferrylock/schema';
import type { Declaration } from '@ferrylock/schema';
import {
  DistanceMap,
  isWorthAskingAt,
  ServiceGate,
  SlotBook,
  slotLimitKey,
  TargetSet,
} from '@ferrylock/steering';
import type { Target } from '@ferrylock/steering';
import { MemoryNetwork } from '@ferrylock/test-utils';
import { Cancellation, silentLogger } from '@ferrylock/utils';
import type { ChoiceSetting, ChoiceWay, Granted } from './choice-way.js';

const ACCOUNT = 'bench';
const SERVICE = 'service';

interface Host {
  readonly gate: ServiceGate;
  readonly loans: SlotLoans;
}

/** Slots divided between hosts, by the daemon's own code: books, gates, ledgers and loans. */
export class DividedSlots implements ChoiceWay {
  readonly network: MemoryNetwork;
  readonly #setting: ChoiceSetting;
  readonly #hosts: Host[];

  /** @param withLoans - whether hosts lend slots to one another, or keep to their own parts */
  constructor(
    setting: ChoiceSetting,
    readonly withLoans: boolean,
  ) {
    this.#setting = setting;
    this.network = new MemoryNetwork(setting.clock, setting.random);
    this.network.faults.delayMilliseconds = (from, to) =>
      setting.delayMilliseconds(this.#regionOf(from), this.#regionOf(to));
    const declaration = makeDeclaration(setting);
    const positions = listPositions({
      groupBy: 'all',
      domains: setting.hostRegions.map((region, host) => ({
        failureDomain: `d${host}`,
        region: `r${region}`,
        count: 1,
      })),
    });
    this.#hosts = setting.hostRegions.map((_, host) =>
      this.#makeHost(host, declaration, positions),
    );
  }

  async choose(host: number, deadlineAt: number): Promise<Granted | undefined> {
    const gate = this.#hosts[host]?.gate;
    const entered = await gate?.enter({
      deadlineAt,
      caller: new Cancellation(),
      rank: 0,
      accept: () => true,
      onTaken: () => undefined,
    });
    if (entered?.isOk() !== true) {
      return undefined;
    }
    const taken = entered.value;
    const target = this.#setting.targets.find((model) => model.name === taken.name);
    return target === undefined
      ? undefined
      : {
          target,
          host,
          release: (took) => {
            taken.recordAnswer(took);
            gate?.leave(taken, took);
          },
        };
  }

  async stop(): Promise<void> {
    this.#hosts.forEach(({ loans }) => void loans.stop());
    return Promise.resolve();
  }

  #makeHost(host: number, declaration: Declaration, positions: readonly Position[]): Host {
    const { clock, random, hostRegions } = this.#setting;
    const region = `r${hostRegions[host] ?? 0}`;
    const parts = new Map<string, number>();
    for (const target of this.#setting.targets) {
      const key = slotLimitKey(ACCOUNT, SERVICE, target.name);
      const limit = { key, units: target.slots, place: `r${target.region}` };
      parts.set(key, divideLimit(limit, positions).get(host) ?? 0);
    }
    const router = new PeerRouter();
    const peers = new PeerClient(this.network.connect(addressOf(host), router));
    const ledger = new AllotmentLedger(clock, { ownedUnits: (key) => parts.get(key) ?? 0 });
    const members = hostRegions.map((_, index) => this.#member(index));
    const self = this.#member(host);
    const loans = new SlotLoans({
      ledger,
      peers,
      clock,
      random,
      logger: silentLogger,
      membership: {
        self,
        knownPeers: () => members.filter((member) => member.id !== self.id),
      },
    });
    loans.register(router);
    const distances = new DistanceMap(declaration);
    const targets = new TargetSet(ACCOUNT, SERVICE);
    targets.update(declaration, [], distances, clock.now());
    const entryPlace = { failureDomain: `d${host}`, region };
    const book = new SlotBook({ targets, allotment: ledger, entryPlace, clock, random }, distances);
    const gate: ServiceGate = new ServiceGate({
      book,
      clock,
      hasOpenTarget: () => true,
      opensInSeconds: () => 1,
      onShortage: () => {
        if (this.withLoans) {
          loans.want(ACCOUNT, SERVICE);
        }
      },
      onUnused: (target: Target) => {
        loans.slotFreed(borrower, target.name, book.unusedSlots(target));
      },
    });
    const borrower: SlotBorrower = {
      account: ACCOUNT,
      service: SERVICE,
      longestDeadlineMilliseconds: this.#setting.deadlineMilliseconds,
      get waiting() {
        return gate.waiting;
      },
      isWorthAsking: (place) =>
        isWorthAskingAt(gate, place.region === region, distances.milliseconds(entryPlace, place)),
      limitKey: (target) => slotLimitKey(ACCOUNT, SERVICE, target),
      spareSlots: () => book.spareSlots(clock.now() + this.#setting.deadlineMilliseconds),
      unusedSlots: (name) => {
        const target = targets.get(name);
        return target === undefined ? 0 : book.unusedSlots(target);
      },
      slotsArrived: () => {
        gate.pump();
      },
    };
    loans.add(borrower);
    return { gate, loans };
  }

  #member(host: number): Member {
    return {
      id: `h${host}`,
      incarnation: 'i',
      controlAddress: addressOf(host),
      trafficAddress: addressOf(host),
      failureDomain: `d${host}`,
      region: `r${this.#setting.hostRegions[host] ?? 0}`,
      state: 'alive',
      version: 0,
    };
  }

  #regionOf(address: string): number {
    return this.#setting.hostRegions[Number(address)] ?? 0;
  }
}

function addressOf(host: number): string {
  return String(host);
}

/** Places for every host and every region's targets, with the delays between regions. */
function makeDeclaration(setting: ChoiceSetting): Declaration {
  const regions = [...new Set(setting.hostRegions)];
  const domains = [
    ...setting.hostRegions.map((region, host) => [`d${host}`, { region: `r${region}` }] as const),
    ...regions.map((region) => [`t${region}`, { region: `r${region}` }] as const),
  ];
  const delays = regions.flatMap((from) =>
    regions.map((to) => [
      `r${from}-r${to}`,
      { from: `r${from}`, to: `r${to}`, milliseconds: setting.delayMilliseconds(from, to) },
    ]),
  );
  const targets = setting.targets.map((target) => [
    target.name,
    { address: '127.0.0.1', port: 1, slots: target.slots, failureDomain: `t${target.region}` },
  ]);
  return declarationSchema.parse({
    account: ACCOUNT,
    failureDomains: Object.fromEntries(domains) as Record<string, unknown>,
    delays: Object.fromEntries(delays) as Record<string, unknown>,
    services: {
      [SERVICE]: {
        repeat: 'free',
        deadlineMilliseconds: setting.deadlineMilliseconds,
        targets: Object.fromEntries(targets) as Record<string, unknown>,
      },
    },
  });
}
