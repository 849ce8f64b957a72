import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';
import type { FleetMember } from './fleet-member.js';
import type { RequestQueue } from './queue/request-queue.js';
import type { RequestMetrics } from './request/request-metrics.js';

/** Interval at which the limit on log lines is refilled. */
const REFILL_MILLISECONDS = 1_000;
const SUMMARY_MILLISECONDS = 5_000;
/** Wait of a connection that is logged; far above that at a host with processor time to spare. */
const BEHIND_MILLISECONDS = 100;

export interface SummaryLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly member: Pick<FleetMember, 'datagrams' | 'state'>;
  readonly metrics: RequestMetrics;
  readonly queue: Pick<RequestQueue, 'accepts' | 'size' | 'refused' | 'callersGone'>;
}

/** Logs counts of requests and datagrams at regular intervals. */
export class SummaryLog {
  readonly #options: SummaryLogOptions;
  #sentBytes = 0;
  /** Requests that had been refused for lack of processor time a second ago. */
  #refused = 0;

  constructor(options: SummaryLogOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, events } = this.#options;
    let writtenAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(REFILL_MILLISECONDS, signal);
      events.refill();
      this.#writeIfBehind();
      if (clock.now() - writtenAt >= SUMMARY_MILLISECONDS) {
        writtenAt = clock.now();
        this.#write();
      }
    }
  }

  #writeIfBehind(): void {
    const { events, metrics, queue } = this.#options;
    const { accepts, size: waiting, refused, callersGone } = queue;
    const acceptMilliseconds = Math.round(accepts.takeLargest());
    const isBehind = acceptMilliseconds >= BEHIND_MILLISECONDS || refused > this.#refused;
    this.#refused = refused;
    if (isBehind) {
      events.write({
        event: 'behind',
        accepted: accepts.accepted,
        acceptMilliseconds,
        inFlight: metrics.inFlight,
        waiting,
        refused,
        callersGone,
      });
    }
  }

  #write(): void {
    const { events, metrics, member } = this.#options;
    const { datagrams, state } = member;
    const { answered, inFlight } = metrics;
    state.logPlacement();
    events.write({
      event: 'summary',
      answered,
      dropped: events.dropped,
      inFlight,
      datagramBytes: datagrams.sentBytes - this.#sentBytes,
      largestDatagramBytes: datagrams.largestBytes,
    });
    this.#sentBytes = datagrams.sentBytes;
  }
}
