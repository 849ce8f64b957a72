import { randomUUID } from 'node:crypto';
import { PeerRouter } from '@ferrylock/control';
import { EtcdStore, HttpHostDirectory } from '@ferrylock/platform';
import { createLogger, SystemClock, systemRandom } from '@ferrylock/utils';
import type { Clock, Logger } from '@ferrylock/utils';
import type { Adapters, Components } from './components.js';
import { buildComponents } from './components.js';
import { TrafficServer } from './http/traffic-server.js';
import { ControlServer } from './rpc/control-server.js';
import { HttpPeerTransport } from './rpc/http-peer-transport.js';
import type { OperatorAuthenticator } from './rpc/operator-authenticator.js';
import { ClosedAuthenticator, OpenAuthenticator } from './rpc/operator-authenticator.js';
import { keysFromFile, TokenAuthenticator } from './rpc/token-authenticator.js';
import type { Settings } from './settings/settings.js';

/** Time in which every other daemon surely hears that this one leaves, and stops naming it. */
const SPREAD_MILLISECONDS = 3_000;
/** Pause between two looks at whether all work in flight has ended. */
const DRAIN_CHECK_MILLISECONDS = 20;

/** Replacements for a daemon's real adapters, as tests use them. */
export type DaemonParts = Partial<Adapters> & {
  readonly authenticator?: OperatorAuthenticator;
};

/** Where a daemon can be reached, with the ports that were taken. */
export interface DaemonAddresses {
  readonly traffic: string;
  readonly control: string;
}

/** How a planned stop ended. */
export interface StopReport {
  /** Requests that were still in flight at the end and were cut. */
  readonly requestsCut: number;
}

interface Running extends Components {
  readonly addresses: DaemonAddresses;
  readonly traffic: TrafficServer;
  readonly control: ControlServer;
}

/** One entry host's process: look-up, request path, and its part in what all daemons share. */
export class Daemon {
  readonly incarnation = randomUUID();
  readonly #parts: DaemonParts;
  readonly #clock: Clock;
  readonly #logger: Logger;
  #closeAdapters: (() => Promise<void>)[] = [];
  #running: Running | undefined;

  constructor(
    readonly settings: Settings,
    parts: DaemonParts = {},
  ) {
    this.#parts = parts;
    this.#clock = parts.clock ?? new SystemClock();
    this.#logger = parts.logger ?? createLogger(settings.log.level, { host: settings.host.id });
  }

  /** The parts of the running daemon. Throws before {@link start}. */
  get components(): Components {
    return this.#started();
  }

  get addresses(): DaemonAddresses {
    return this.#started().addresses;
  }

  /** Listens, joins the other daemons and begins to serve. */
  async start(): Promise<DaemonAddresses> {
    const { host, listen } = this.settings;
    const router = new PeerRouter();
    const traffic = new TrafficServer();
    const control = new ControlServer({
      router,
      authenticator: this.#parts.authenticator ?? this.#buildAuthenticator(),
    });
    const addresses = {
      traffic: await traffic.listen(listen.traffic),
      control: await control.listen(listen.control),
    };
    const identity = {
      id: host.id,
      incarnation: this.incarnation,
      controlAddress: addresses.control,
      trafficAddress: addresses.traffic,
      failureDomain: host.failureDomain,
      region: host.region,
    };
    const components = buildComponents(this.settings, identity, this.#buildAdapters(), router);
    this.#running = { ...components, addresses, traffic, control };
    control.attach(components);
    traffic.attach({ ...components, entryHost: host.id });
    components.membership.start();
    components.sync.start();
    components.positions.start();
    components.prober.start();
    components.seeder.start();
    this.#logger.info('daemon started', { addresses, incarnation: this.incarnation });
    return addresses;
  }

  /**
   * Planned stop: look-ups stop naming this host, it serves on for as long as callers may still use
   * an answer that any daemon gave before it heard, then lets all work in flight end, gives back its parts of limits, and leaves.
   *
   * @param hurry - ends the waiting when aborted; what is then in flight is cut and counted
   */
  async stop(hurry?: AbortSignal): Promise<StopReport> {
    const running = this.#started();
    const { lookup, stop } = this.settings;
    this.#logger.info('daemon leaving', { requestsInFlight: running.requestPath.inFlight });
    running.traffic.beginLeaving();
    await running.membership.announceLeaving();
    await this.#clock.sleep(SPREAD_MILLISECONDS + lookup.lifetimeSeconds * 1_000, hurry);
    running.traffic.closeIdleConnections();
    const deadlineAt = this.#clock.now() + stop.deadlineSeconds * 1_000;
    while (this.#isBusy(running) && this.#clock.now() < deadlineAt && hurry?.aborted !== true) {
      await this.#clock.sleep(DRAIN_CHECK_MILLISECONDS, hurry);
    }
    const requestsCut = running.requestPath.inFlight;
    await running.slotLoans.stop();
    await running.rates.stop();
    await running.positions.giveAllBack();
    await running.membership.announceGone();
    await this.#close(running);
    this.#logger.info('daemon stopped', { requestsCut });
    return { requestsCut };
  }

  /** Ends at once without a word to anyone, as a crash would, but for closed sockets. */
  async kill(): Promise<void> {
    const running = this.#started();
    await Promise.all([
      running.membership.stop(),
      running.positions.stop(),
      running.rates.stop(),
      running.slotLoans.stop(),
    ]);
    await this.#close(running);
  }

  #isBusy({ requestPath, ledger }: Running): boolean {
    return requestPath.inFlight > 0 || ledger.hasLent;
  }

  async #close(running: Running): Promise<void> {
    await Promise.all([running.sync.stop(), running.prober.stop(), running.seeder.stop()]);
    await Promise.all([running.traffic.close(), running.control.close()]);
    await running.client.close();
    await Promise.all(this.#closeAdapters.map((close) => close()));
    this.#running = undefined;
  }

  #buildAuthenticator(): OperatorAuthenticator {
    const { keys, allowAnonymous } = this.settings.operators;
    if (keys !== undefined) {
      return new TokenAuthenticator(keysFromFile(keys, this.#clock, this.#logger));
    }
    return allowAnonymous ? new OpenAuthenticator() : new ClosedAuthenticator();
  }

  #buildAdapters(): Adapters {
    const { platform } = this.settings;
    const store = new EtcdStore({
      endpoints: platform.store,
      timeoutMilliseconds: platform.storeTimeoutMilliseconds,
    });
    const peerTransport = new HttpPeerTransport();
    this.#closeAdapters = [() => store.close(), () => peerTransport.close()];
    return {
      clock: this.#clock,
      logger: this.#logger,
      random: this.#parts.random ?? systemRandom(),
      store: this.#parts.store ?? store,
      hostDirectory: this.#parts.hostDirectory ?? new HttpHostDirectory(platform.hostList),
      peerTransport: this.#parts.peerTransport ?? peerTransport,
    };
  }

  #started(): Running {
    if (this.#running === undefined) {
      throw new Error('the daemon is not running');
    }
    return this.#running;
  }
}
