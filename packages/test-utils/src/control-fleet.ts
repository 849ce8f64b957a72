import {
  AllotmentLedger,
  ConfigurationReplica,
  ConfigurationService,
  ConfigurationSync,
  LimitRegister,
  Membership,
  PeerClient,
  PeerRouter,
  PositionHolder,
  RATE_LOAN_MILLISECONDS,
  RateShares,
} from '@ferrylock/control';
import type { PositionLayout } from '@ferrylock/control';
import type { HostDirectory, ListedHost } from '@ferrylock/platform';
import type { Declaration } from '@ferrylock/schema';
import { declarationSchema } from '@ferrylock/schema';
import { SeededRandom, silentLogger } from '@ferrylock/utils';
import { Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { FakeClock } from './fake-clock.js';
import { FakeStore } from './fake-store.js';
import { KeyValueEngine } from './key-value-engine.js';
import { MemoryNetwork } from './memory-network.js';
import { PausableClock, ProcessPause } from './process-pause.js';

export interface ControlFleetOptions {
  readonly domains: number;
  readonly hostsPerDomain: number;
  readonly seed?: number;
  readonly groupBy?: PositionLayout['groupBy'];
}

/** The parts of one daemon that have to do with other daemons. */
export interface ControlNode {
  readonly id: string;
  readonly address: string;
  readonly process: ProcessPause;
  readonly store: FakeStore;
  readonly membership: Membership;
  readonly replica: ConfigurationReplica;
  readonly sync: ConfigurationSync;
  readonly configuration: ConfigurationService;
  readonly register: LimitRegister;
  readonly positions: PositionHolder;
  readonly ledger: AllotmentLedger;
  readonly rates: RateShares;
}

/** Daemons' control parts on one fake clock, with a shared store and a network that can fail. */
export class ControlFleet {
  readonly clock = new FakeClock();
  readonly random: SeededRandom;
  readonly engine = new KeyValueEngine();
  readonly network: MemoryNetwork;
  readonly nodes: ControlNode[] = [];
  /** What the platform's host list shows, however wrong. */
  listed: ListedHost[] = [];
  readonly layout: PositionLayout;
  readonly #options: ControlFleetOptions;
  #starts = 0;

  constructor(options: ControlFleetOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed ?? 1);
    this.network = new MemoryNetwork(this.clock, this.random);
    this.layout = {
      groupBy: options.groupBy ?? 'all',
      domains: Array.from({ length: options.domains }, (_, index) => ({
        failureDomain: domainName(index),
        region: regionName(index),
        count: options.hostsPerDomain,
      })),
    };
  }

  /** Starts a daemon on every host and lets them get to know one another. */
  static async start(
    options: ControlFleetOptions,
    settleMilliseconds = 15_000,
  ): Promise<ControlFleet> {
    const fleet = new ControlFleet(options);
    const { domains, hostsPerDomain } = options;
    for (let index = 0; index < domains * hostsPerDomain; index++) {
      fleet.startHost(index);
    }
    await fleet.clock.advance(settleMilliseconds);
    return fleet;
  }

  /** Starts a daemon on a host; a second start is a new process at the same address. */
  startHost(index: number): ControlNode {
    const node = this.#build(index);
    this.nodes.push(node);
    node.membership.start();
    node.sync.start();
    node.positions.start();
    return node;
  }

  /** Ends a daemon without a word to anyone. Its last calls time out as the clock moves on. */
  kill(node: ControlNode): void {
    this.network.disconnect(node.address);
    this.nodes.splice(this.nodes.indexOf(node), 1);
    for (const part of [node.membership, node.sync, node.positions, node.rates]) {
      void part.stop();
    }
  }

  /** Ends all daemons. */
  stop(): void {
    [...this.nodes].forEach((node) => {
      this.kill(node);
    });
  }

  node(index: number): ControlNode {
    const node = this.nodes[index];
    if (node === undefined) {
      throw new Error(`no daemon ${index}`);
    }
    return node;
  }

  /** A declaration that differs by the priority of its one service. */
  static declaration(account: string, priority = 5): Declaration {
    return declarationSchema.parse({
      account,
      services: { 'verdict-api': { repeat: 'free', priority } },
    });
  }

  #build(index: number): ControlNode {
    const { hostsPerDomain } = this.#options;
    const domain = Math.floor(index / hostsPerDomain);
    const address = `10.0.${domain}.${(index % hostsPerDomain) + 1}:8081`;
    const id = `host-${String(index).padStart(4, '0')}`;
    const process = new ProcessPause();
    const clock = new PausableClock(this.clock, process);
    const common = { clock, random: this.random, logger: silentLogger };
    const router = new PeerRouter();
    const peers = new PeerClient(this.network.connect(address, router, process));
    const store = new FakeStore(this.engine, this.clock, process);
    const replica = new ConfigurationReplica();
    const register = new LimitRegister();
    const identity = {
      id,
      incarnation: `i${this.#starts++}`,
      controlAddress: address,
      trafficAddress: address.replace('8081', '8080'),
      failureDomain: domainName(domain),
      region: regionName(domain),
    };
    if (!this.listed.some((host) => host.id === id)) {
      this.listed.push({
        id,
        address: address.replace(':8081', ''),
        controlAddress: address,
        failureDomain: identity.failureDomain,
        state: 'live',
      });
    }
    const membership = new Membership({
      ...common,
      identity,
      peers,
      directory: this.#directory(),
    });
    const sync = new ConfigurationSync({ ...common, replica, store, membership, peers });
    const positions: PositionHolder = new PositionHolder({
      ...common,
      layout: this.layout,
      store,
      membership,
      peers,
      register,
      longestUseMilliseconds: () => RATE_LOAN_MILLISECONDS + 100,
      usageFits: () => ledger.lentFits(),
    });
    const ledger = new AllotmentLedger(clock, positions);
    const rates = new RateShares({ ...common, ledger, register, membership, peers });
    const configuration = new ConfigurationService({
      ...common,
      store,
      replica,
      onStored: (document) => {
        sync.spread(document);
      },
    });
    membership.addParticipant(sync);
    membership.addParticipant(positions);
    for (const part of [membership, sync, positions, rates]) {
      part.register(router);
    }
    return {
      id,
      address,
      process,
      store,
      membership,
      replica,
      sync,
      configuration,
      register,
      positions,
      ledger,
      rates,
    };
  }

  #directory(): HostDirectory {
    return {
      list: (): Promise<Result<readonly ListedHost[], string>> => Promise.resolve(Ok(this.listed)),
    };
  }
}

function domainName(index: number): string {
  return `domain-${index + 1}`;
}

/** Two domains make a region. */
function regionName(domain: number): string {
  return `region-${Math.floor(domain / 2) + 1}`;
}
