import type { DeclarationInput, RepeatClass } from '@ferrylock/schema';
import { declarationSchema } from '@ferrylock/schema';
import type { TargetStandInOptions } from '@ferrylock/test-utils';
import { FakeStore, KeyValueEngine, TargetStandIn } from '@ferrylock/test-utils';
import { silentLogger, SystemClock } from '@ferrylock/utils';
import { Ok } from 'ts-results-es';
import type { DaemonParts, SettingsInput } from '../src/index.js';
import { Daemon, settingsSchema } from '../src/index.js';

const CHECK_MILLISECONDS = 5;
const MOST_CHECKS = 4_000;

/** Waits for something to become true; a test that never sees it fails by its own time-out. */
export async function until(condition: () => boolean): Promise<void> {
  for (let check = 0; check < MOST_CHECKS && !condition(); check++) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_MILLISECONDS));
  }
}

export interface FixtureOptions {
  readonly daemons?: number;
  readonly targets?: number;
  readonly repeat?: RepeatClass;
  readonly slots?: number;
  readonly deadlineMilliseconds?: number;
  readonly target?: Partial<TargetStandInOptions>;
  readonly service?: Partial<NonNullable<DeclarationInput['services']>[string]>;
  readonly declaration?: Partial<DeclarationInput>;
  readonly settings?: Partial<SettingsInput>;
  readonly parts?: DaemonParts;
}

/** Daemons of one failure domain with the targets of one service, over real HTTP on loopback. */
export class Fixture {
  readonly engine = new KeyValueEngine();
  readonly daemons: Daemon[] = [];
  readonly targets: TargetStandIn[] = [];
  readonly #options: FixtureOptions;
  #controlAddresses: string[] = [];

  private constructor(options: FixtureOptions) {
    this.#options = options;
  }

  static async start(options: FixtureOptions = {}): Promise<Fixture> {
    const fixture = new Fixture(options);
    const count = options.daemons ?? 1;
    for (let index = 0; index < count; index++) {
      await fixture.startDaemon(index, count);
    }
    await fixture.#declare();
    return fixture;
  }

  get daemon(): Daemon {
    return this.#at(this.daemons, 0);
  }

  get target(): TargetStandIn {
    return this.#at(this.targets, 0);
  }

  /** URL of the service at a daemon. */
  url(path = '/work', daemon = 0): string {
    return `http://${this.#at(this.daemons, daemon).addresses.traffic}/s/atec/desk${path}`;
  }

  /** A key for work that must not repeat. */
  async key(daemon = 0): Promise<string> {
    const { traffic } = this.#at(this.daemons, daemon).addresses;
    const response = await fetch(`http://${traffic}/v1/keys?account=atec&service=desk`, {
      method: 'POST',
    });
    const { keys } = (await response.json()) as { keys: string[] };
    return this.#at(keys, 0);
  }

  /** Runs of all keys together, and the most of any one, counted at the targets. */
  runs(): { total: number; mostOfOneKey: number } {
    const total = this.targets.reduce((sum, target) => sum + target.requests, 0);
    const byKey = new Map<string, number>();
    for (const target of this.targets) {
      for (const [key, count] of target.runsByKey) {
        byKey.set(key, (byKey.get(key) ?? 0) + count);
      }
    }
    return { total, mostOfOneKey: Math.max(0, ...byKey.values()) };
  }

  async startDaemon(index: number, count: number): Promise<Daemon> {
    const settings = settingsSchema.parse({
      host: { id: `entry-${index}`, region: 'fyn', failureDomain: 'fyn-1' },
      listen: { traffic: '127.0.0.1:0', control: '127.0.0.1:0' },
      platform: { store: 'http://127.0.0.1:1', hostList: 'http://127.0.0.1:1' },
      positions: { 'fyn-1': { region: 'fyn', count } },
      lookup: { lifetimeSeconds: 1 },
      log: { level: 'silent' },
      ...this.#options.settings,
    });
    const daemon = new Daemon(settings, {
      logger: silentLogger,
      store: new FakeStore(this.engine, new SystemClock()),
      hostDirectory: { list: () => Promise.resolve(Ok(this.#listedHosts())) },
      ...this.#options.parts,
    });
    const { control } = await daemon.start();
    this.#controlAddresses.push(control);
    this.daemons.push(daemon);
    return daemon;
  }

  /** Puts a declaration in force at every daemon. */
  async apply(input: DeclarationInput, generation: number): Promise<void> {
    const document = {
      account: 'atec',
      generation,
      declaration: declarationSchema.parse(input),
      drains: [],
      changes: [],
    };
    for (const daemon of this.daemons) {
      daemon.components.replica.offer(document);
    }
    await until(() => this.daemons.every((daemon) => daemon.components.sync.ready));
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all(this.targets.map((target) => target.stop()));
  }

  async #declare(): Promise<void> {
    const {
      targets = 1,
      slots = 4,
      repeat = 'free',
      deadlineMilliseconds = 20_000,
    } = this.#options;
    const declared: Record<string, unknown> = {};
    for (let index = 0; index < targets; index++) {
      const target = new TargetStandIn({ slots, ...this.#options.target });
      this.targets.push(target);
      const port = await target.start();
      declared[`t${index}`] = { address: '127.0.0.1', port, slots, failureDomain: 'fyn-1' };
    }
    await this.apply(
      {
        account: 'atec',
        failureDomains: { 'fyn-1': { region: 'fyn' } },
        services: {
          desk: {
            repeat,
            deadlineMilliseconds,
            targets: declared,
            ...this.#options.service,
          },
        },
        ...this.#options.declaration,
      } as DeclarationInput,
      1,
    );
    const each = 1;
    await until(() =>
      this.daemons.every((daemon) => daemon.components.positions.positions.length === each),
    );
  }

  #listedHosts(): {
    id: string;
    address: string;
    controlAddress: string;
    failureDomain: string;
    state: 'live';
  }[] {
    return this.#controlAddresses.map((controlAddress, index) => ({
      id: `entry-${index}`,
      address: '127.0.0.1',
      controlAddress,
      failureDomain: 'fyn-1',
      state: 'live',
    }));
  }

  #at<T>(items: readonly T[], index: number): T {
    const item = items[index];
    if (item === undefined) {
      throw new Error(`nothing at ${index}`);
    }
    return item;
  }
}

/** What a caller saw of one request. */
export interface Seen {
  readonly status: number;
  readonly ran: 'no' | 'unknown' | undefined;
  readonly reason: string | undefined;
  /** Set when the answer broke off. */
  readonly cut: boolean;
  readonly bytes: number;
}

/** Sends a request and tells all that its caller sees. */
export async function send(url: string, init: RequestInit = {}): Promise<Seen> {
  const response = await fetch(url, init);
  try {
    const body = Buffer.from(await response.arrayBuffer());
    const isProblem = response.headers.get('content-type') === 'application/problem+json';
    const problem = isProblem
      ? (JSON.parse(body.toString('utf8')) as { ran: 'no' | 'unknown'; reason: string })
      : undefined;
    return {
      status: response.status,
      ran: problem?.ran,
      reason: problem?.reason,
      cut: false,
      bytes: body.length,
    };
  } catch {
    return { status: response.status, ran: undefined, reason: undefined, cut: true, bytes: 0 };
  }
}
