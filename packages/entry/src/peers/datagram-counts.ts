import { Throttle } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { OmittedRows } from './message-sections.js';

/** Interval between log lines about failed sends. */
const LOG_INTERVAL_MILLISECONDS = 1_000;

/** Counts what a host sends to its peers by datagram, and logs failed sends at a limited rate. */
export class DatagramCounts {
  sent = 0;
  /** Bytes of the datagrams that were sent, without headers. */
  sentBytes = 0;
  failed = 0;
  /** Size of the largest datagram, whether or not it could be sent. */
  largestBytes = 0;
  /** Rows that did not fit into messages. */
  omittedRows = 0;
  readonly #failureThrottle: Throttle;
  readonly #omissionThrottle: Throttle;

  constructor(
    clock: Clock,
    readonly events: EventLog,
  ) {
    this.#failureThrottle = new Throttle(clock, LOG_INTERVAL_MILLISECONDS);
    this.#omissionThrottle = new Throttle(clock, LOG_INTERVAL_MILLISECONDS);
  }

  recordSend(bytes: number): void {
    this.sent++;
    this.sentBytes += bytes;
    this.largestBytes = Math.max(this.largestBytes, bytes);
  }

  recordOmittedRows(omitted: OmittedRows): void {
    this.omittedRows += Object.values(omitted).reduce((sum, rows) => sum + rows, 0);
    if (this.#omissionThrottle.tryAdmit()) {
      this.events.write({ event: 'rows-omitted', sections: { ...omitted } });
    }
  }

  recordFailure(address: string, bytes: number, detail: string): void {
    this.failed++;
    if (this.#failureThrottle.tryAdmit()) {
      this.events.write({ event: 'send-failed', address, bytes, detail, failed: this.failed });
    }
  }
}
