import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';
import type { RequestForwarder } from './request/request-forwarder.js';
import type { RequestMetrics } from './request/request-metrics.js';
import type { TrafficServer } from './servers/traffic-server.js';
import type { ShutdownWindow } from './shutdown-window.js';

/** Interval of the checks for requests in flight. */
const CHECK_MILLISECONDS = 20;
/** Fraction of the shutdown timeout during which new connections are accepted. */
const SERVING_FRACTION = 0.6;
/** Time to wait for the deregistration once no request is in flight. */
const DEREGISTRATION_MILLISECONDS = 400;

export interface GracefulShutdownOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly timeoutMilliseconds: number;
  readonly window: ShutdownWindow;
  readonly metrics: Pick<RequestMetrics, 'inFlight' | 'accounts'>;
  readonly trafficServer: Pick<
    TrafficServer,
    'beginDraining' | 'closeIdleConnections' | 'openResponses'
  >;
  /** Announces that this host is leaving; resolves once it is deregistered. */
  readonly leave: () => Promise<void>;
  readonly forwarder: Pick<RequestForwarder, 'logCut'>;
  /** Closes callers' connections first, then all others; may take as long as the store does. */
  readonly close: () => Promise<void>;
}

/**
 * Leaves the directory, serves what can be answered in time while callers may still connect, then
 * closes idle connections and waits for requests in flight.
 */
export class GracefulShutdown {
  readonly #options: GracefulShutdownOptions;

  constructor(options: GracefulShutdownOptions) {
    this.#options = options;
  }

  /** @returns number of requests and answers that are still in flight at the end */
  async run(): Promise<number> {
    const { clock, events, metrics, timeoutMilliseconds, window, trafficServer } = this.#options;
    const { abortsAt, exitsAt } = window.begin(timeoutMilliseconds);
    events.write({ event: 'stopping', inFlight: metrics.inFlight });
    trafficServer.beginDraining();
    const deregistered = this.#options.leave();
    await clock.sleep(timeoutMilliseconds * SERVING_FRACTION);
    trafficServer.closeIdleConnections();
    while (this.#unfinished > 0 && clock.now() < abortsAt) {
      await clock.sleep(CHECK_MILLISECONDS);
    }
    const cut = this.#unfinished;
    this.#options.forwarder.logCut();
    events.write({ event: 'stopped', cut, accounts: metrics.accounts.rows });
    await this.#waitUntil(
      Math.min(abortsAt, clock.now() + DEREGISTRATION_MILLISECONDS),
      deregistered,
    );
    await this.#waitUntil(exitsAt, this.#options.close());
    return cut;
  }

  /** Waits for an action, though not longer than until a monotonic time in milliseconds. */
  async #waitUntil(latest: number, action: Promise<void>): Promise<void> {
    const { clock } = this.#options;
    await Promise.race([action, clock.sleep(Math.max(0, latest - clock.now()))]);
  }

  /** Requests without an answer, or answers that are not sent whole, whichever are more. */
  get #unfinished(): number {
    const { metrics, trafficServer } = this.#options;
    return Math.max(metrics.inFlight, trafficServer.openResponses);
  }
}
