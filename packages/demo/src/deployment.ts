import { OperatorClient } from '@ferrylock/cli';
import { Daemon, settingsSchema } from '@ferrylock/daemon';
import { declarationSchema } from '@ferrylock/schema';
import type { DeclarationInput } from '@ferrylock/schema';
import type { AccountSize } from '@ferrylock/test-utils';
import {
  EtcdStandIn,
  failureDomainsOf,
  HostListStandIn,
  makeDeclaration,
  TargetStandIn,
} from '@ferrylock/test-utils';

const ENTRY_HOSTS = 12;
const LOOKUP_LIFETIME_SECONDS = 2;
const SETTLE_TIMEOUT_MILLISECONDS = 30_000;
const SETTLE_CHECK_MILLISECONDS = 50;

/** How long a target of a service works on a request, and how much it answers. */
export interface Workload {
  readonly serviceMilliseconds: number;
  readonly answerBytes: number;
}

/** One account's entry hosts, targets and platform, all in this process. */
export class Deployment {
  readonly daemons: Daemon[] = [];
  readonly targets = new Map<string, TargetStandIn[]>();
  readonly store = new EtcdStandIn();
  readonly hostList = new HostListStandIn();

  private constructor(readonly size: AccountSize) {}

  /** Starts everything and waits until the declaration is in force at every entry host. */
  static async start(
    size: AccountSize,
    workloads: Readonly<Record<string, Workload>>,
  ): Promise<Deployment> {
    const deployment = new Deployment(size);
    await deployment.#startTargets(workloads);
    await deployment.#startDaemons();
    await deployment.#applyDeclaration();
    return deployment;
  }

  get account(): string {
    return this.size.account;
  }

  /** Addresses of entry hosts that callers may ask first. */
  get entryAddresses(): string[] {
    return this.daemons.map((daemon) => daemon.addresses.traffic);
  }

  /** A client for the operators' calls of one daemon. */
  operator(daemon: Daemon | undefined = this.daemons[0]): OperatorClient {
    return new OperatorClient({ endpoint: `http://${daemon?.addresses.control ?? ''}` });
  }

  allTargets(): TargetStandIn[] {
    return [...this.targets.values()].flat();
  }

  /** Takes a daemon that is about to stop out of the list. */
  forget(daemon: Daemon): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.allTargets().map((target) => target.stop()));
    await this.store.stop();
    await this.hostList.stop();
  }

  async #startTargets(workloads: Readonly<Record<string, Workload>>): Promise<void> {
    for (const service of this.size.services) {
      const workload = workloads[service.name];
      const targets = Array.from(
        { length: service.targets },
        () =>
          new TargetStandIn({
            slots: service.slots,
            serviceMilliseconds: () => (workload?.serviceMilliseconds ?? 0) * (0.5 + Math.random()),
            answerBytes: workload?.answerBytes ?? 0,
          }),
      );
      this.targets.set(service.name, targets);
    }
  }

  async #startDaemons(): Promise<void> {
    const [store, hostList] = await Promise.all([this.store.start(), this.hostList.start()]);
    const domains = failureDomainsOf(this.size);
    const perDomain = ENTRY_HOSTS / domains.length;
    const positions = Object.fromEntries(
      domains.map(({ name, region }) => [name, { region, count: perDomain }]),
    );
    for (let index = 0; index < ENTRY_HOSTS; index++) {
      const domain = domains[index % domains.length];
      const settings = settingsSchema.parse({
        host: {
          id: `${this.account}-entry-${String(index + 1).padStart(2, '0')}`,
          region: domain?.region,
          failureDomain: domain?.name,
        },
        listen: { traffic: '127.0.0.1:0', control: '127.0.0.1:0' },
        platform: { store, hostList },
        positions,
        lookup: { lifetimeSeconds: LOOKUP_LIFETIME_SECONDS },
        operators: { allowAnonymous: true },
        log: { level: 'error' },
      });
      const daemon = new Daemon(settings);
      const { control } = await daemon.start();
      this.daemons.push(daemon);
      this.hostList.hosts.push({
        id: settings.host.id,
        address: '127.0.0.1',
        controlAddress: control,
        failureDomain: settings.host.failureDomain,
        state: 'live',
      });
    }
  }

  async #applyDeclaration(): Promise<void> {
    const ports = new Map<string, number[]>();
    for (const [service, targets] of this.targets) {
      ports.set(service, await Promise.all(targets.map((target) => target.start())));
    }
    const input: DeclarationInput = makeDeclaration(this.size, (service, index) => ({
      address: '127.0.0.1',
      port: ports.get(service)?.[index] ?? 0,
    }));
    await this.#settle('members know one another', () =>
      this.daemons.every(
        (daemon) => daemon.components.membership.knownMembers().length === ENTRY_HOSTS,
      ),
    );
    const applied = await this.operator().call('configuration.apply', {
      account: this.account,
      changeId: 'demo-first',
      basedOn: 0,
      declaration: declarationSchema.parse(input),
    });
    if (applied.isErr()) {
      throw new Error(`apply: ${applied.error.message}`);
    }
    await this.#settle('configuration in force', () =>
      this.daemons.every((daemon) => daemon.components.replica.generation(this.account) === 1),
    );
    await this.#settle('each entry host holds its part of the limits', () =>
      this.daemons.every((daemon) => daemon.components.positions.positions.length === 1),
    );
  }

  async #settle(what: string, done: () => boolean): Promise<void> {
    const deadline = Date.now() + SETTLE_TIMEOUT_MILLISECONDS;
    while (!done()) {
      if (Date.now() > deadline) {
        throw new Error(`${this.account}: not reached in time: ${what}`);
      }
      await new Promise((resolve) => setTimeout(resolve, SETTLE_CHECK_MILLISECONDS));
    }
  }
}
