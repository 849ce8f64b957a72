import { Throttle } from '@ferrylock/utils';
import type { Clock } from '@ferrylock/utils';
import type { EventLog } from '../events.js';

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
  readonly #throttle: Throttle;

  constructor(
    clock: Clock,
    readonly events: EventLog,
  ) {
    this.#throttle = new Throttle(clock, LOG_INTERVAL_MILLISECONDS);
  }

  recordSend(bytes: number): void {
    this.sent++;
    this.sentBytes += bytes;
    this.largestBytes = Math.max(this.largestBytes, bytes);
  }

  recordFailure(address: string, bytes: number, detail: string): void {
    this.failed++;
    if (this.#throttle.tryAdmit()) {
      this.events.write({ event: 'send-failed', address, bytes, detail, failed: this.failed });
    }
  }
}
