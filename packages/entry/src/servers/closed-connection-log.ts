import type { Clock } from '@ferrylock/utils';
import { Throttle } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { CloseReason, PortConnections } from './connection-pool.js';

const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Logs at which port and why this host closes connections of clients, once per interval for each. */
export class ClosedConnectionLog {
  readonly #throttles = new Map<string, Throttle>();

  constructor(
    readonly clock: Clock,
    readonly events: EventLog,
  ) {}

  record({ name, size, closed }: PortConnections, reason: CloseReason): void {
    const key = `${name} ${reason}`;
    const throttle =
      this.#throttles.get(key) ?? new Throttle(this.clock, LOG_INTERVAL_MILLISECONDS);
    this.#throttles.set(key, throttle);
    if (throttle.tryAdmit()) {
      this.events.write({
        event: 'connections-closed',
        port: name,
        reason,
        total: closed.get(reason) ?? 0,
        open: size,
      });
    }
  }
}
