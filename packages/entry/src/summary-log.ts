import type { Clock } from '@ferrylock/utils';
import type { EventLog } from './event-log.js';
import type { FleetMember } from './fleet-member.js';
import type { RequestMetrics } from './request/request-metrics.js';

/** Interval at which the limit on log lines is refilled. */
const REFILL_MILLISECONDS = 1_000;
const SUMMARY_MILLISECONDS = 5_000;

export interface SummaryLogOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly member: Pick<FleetMember, 'datagrams' | 'state'>;
  readonly metrics: RequestMetrics;
}

/** Logs counts of requests and datagrams at regular intervals. */
export class SummaryLog {
  readonly #options: SummaryLogOptions;
  #sentBytes = 0;

  constructor(options: SummaryLogOptions) {
    this.#options = options;
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, events } = this.#options;
    let writtenAt = clock.now();
    while (!signal.aborted) {
      await clock.sleep(REFILL_MILLISECONDS, signal);
      events.refill();
      if (clock.now() - writtenAt >= SUMMARY_MILLISECONDS) {
        writtenAt = clock.now();
        this.#write();
      }
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
