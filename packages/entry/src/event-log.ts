import type { Logger } from '@ferrylock/utils';
import type { EntryEvent } from './events.js';

/** Events of each of the two groups about requests are dropped and counted beyond this rate. */
const MAX_REQUEST_EVENTS_PER_SECOND = 50;

/** Events about requests that were sent, which something may have run. */
const SENT_REQUEST_EVENTS: ReadonlySet<EntryEvent['event']> = new Set([
  'try-failed',
  'handed-over',
  'answered',
  'transfer-ended',
]);
const OTHER_REQUEST_EVENTS: ReadonlySet<EntryEvent['event']> = new Set([
  'refused',
  'fair-parts',
  'unreadable-answer',
]);
/** Target states that are caused by requests rather than by records in the store. */
const REQUEST_STATES: ReadonlySet<string> = new Set([
  'failing',
  'distrusted',
  'limited',
  'unlimited',
]);

/** Whether an event tells of a request that was sent. */
function isSentRequestEvent(event: EntryEvent): boolean {
  return SENT_REQUEST_EVENTS.has(event.event) || (event.event === 'refused' && event.attempts > 0);
}

/** Whether other events of this type can be as frequent as requests. */
function isOtherRequestEvent(event: EntryEvent): boolean {
  return (
    OTHER_REQUEST_EVENTS.has(event.event) ||
    (event.event === 'target' && REQUEST_STATES.has(event.state)) ||
    (event.event === 'answers-lost' && event.connection !== 'refused') ||
    (event.event === 'suspect-record' && !event.isWritten)
  );
}

/** Bounds the memory for output that is not read, since writes do not block. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/**
 * Writes events as JSON lines; events about requests are rate limited. Those about requests that
 * were sent have a limit of their own, so that refusals of others under overload do not displace
 * them.
 */
export class EventLog {
  /** Number of dropped events. */
  dropped = 0;
  /** Number of `bad-record` events. */
  unreadable = 0;
  /** Failures of background tasks, by name. */
  readonly taskFailures = new Map<string, number>();
  #sentRequestEventsLeft = MAX_REQUEST_EVENTS_PER_SECOND;
  #otherRequestEventsLeft = MAX_REQUEST_EVENTS_PER_SECOND;

  /** @param backlogBytes - size of the output that has not been read yet */
  constructor(
    readonly logger: Logger,
    readonly backlogBytes: () => number = () => 0,
  ) {}

  write(event: EntryEvent): void {
    this.unreadable += Number(event.event === 'bad-record');
    if (this.backlogBytes() > MAX_BACKLOG_BYTES) {
      this.dropped++;
      return;
    }
    if (!this.#tryAcquire(event)) {
      this.dropped++;
      return;
    }
    const { event: name, ...fields } = event;
    this.logger.info(name, fields);
  }

  recordTaskFailure(task: string): void {
    this.taskFailures.set(task, (this.taskFailures.get(task) ?? 0) + 1);
  }

  /** Refills the rate limit; called once a second. */
  refill(): void {
    this.#sentRequestEventsLeft = MAX_REQUEST_EVENTS_PER_SECOND;
    this.#otherRequestEventsLeft = MAX_REQUEST_EVENTS_PER_SECOND;
  }

  /** Takes one event off the limit of its group; false if none is left. */
  #tryAcquire(event: EntryEvent): boolean {
    if (isSentRequestEvent(event)) {
      return this.#sentRequestEventsLeft-- > 0;
    }
    return !isOtherRequestEvent(event) || this.#otherRequestEventsLeft-- > 0;
  }
}
