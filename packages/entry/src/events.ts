import type { Logger } from '@ferrylock/utils';
import { z } from 'zod';

/** Requests of one client account since the start. */
const accountRowSchema = z.object({
  account: z.string(),
  served: z.number(),
  failed: z.number(),
  overLimit: z.number(),
});

/** Fields that each line about a request has. */
const requestFields = {
  requestId: z.string(),
  route: z.string().optional(),
  /** Name of the client account that it comes from. */
  account: z.string().optional(),
  /** Version of the configuration that it was treated by. */
  version: z.number().optional(),
};

/**
 * Every line that an entry host writes. One event stands for one decision or one change of what
 * the host believes; its fields are the inputs that decided it.
 */
export const eventSchema = z.discriminatedUnion('event', [
  /** The process serves. */
  z.object({
    event: z.literal('started'),
    incarnation: z.string(),
    startMilliseconds: z.number(),
  }),
  /** A planned stop has begun. */
  z.object({ event: z.literal('stopping'), inFlight: z.number() }),
  /** A planned stop is over. */
  z.object({
    event: z.literal('stopped'),
    cut: z.number(),
    /** Requests of the largest client accounts and of the worst served. */
    accounts: z.array(accountRowSchema),
  }),
  /** The settings were read again. */
  z.object({ event: z.literal('reloaded') }),
  /** The process did not run for a while. */
  z.object({ event: z.literal('paused'), milliseconds: z.number() }),
  /** A call to the store failed, and the one before had not. */
  z.object({ event: z.literal('store-lost'), call: z.string(), detail: z.string() }),
  /** The store answers again. */
  z.object({ event: z.literal('store-regained'), lostMilliseconds: z.number() }),
  /**
   * The store has come back from a copy of itself: its revisions count from an earlier one. The
   * host knew its content up to a revision of the life before.
   */
  z.object({
    event: z.literal('store-epoch'),
    epoch: z.number(),
    formerEpoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
  }),
  /**
   * This host goes by the store's next life from now on. Of these keys it keeps what it knew, since
   * that is newer than what the store holds (`kept`) or the store does not hold them any more
   * (`missing`).
   */
  z.object({
    event: z.literal('store-return'),
    epoch: z.number(),
    formerEpoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
    kept: z.array(z.string()),
    missing: z.array(z.string()),
  }),
  /**
   * A listing was not taken over: it ends at a revision before the one that is known. The first of
   * a row alone has a line.
   */
  z.object({
    event: z.literal('listing-refused'),
    epoch: z.number(),
    revision: z.number(),
    knownRevision: z.number(),
  }),
  /** What the store says in a header is not known or cannot be read; written once for each name. */
  z.object({ event: z.literal('store-header'), header: z.string(), detail: z.string() }),
  /** What the host believes of the store's content has moved on. */
  z.object({
    event: z.literal('view'),
    source: z.string(),
    revision: z.number(),
    changes: z.array(z.string()),
  }),
  /**
   * A value could not be decoded. It names nothing, but for a configuration: the one before stays
   * in force.
   */
  z.object({ event: z.literal('bad-record'), key: z.string(), detail: z.string() }),
  /** A configuration is in force. */
  z.object({
    event: z.literal('configuration'),
    version: z.number(),
    routes: z.number(),
    accounts: z.number(),
  }),
  /** Another entry host is heard from, or no longer. */
  z.object({
    event: z.literal('peer'),
    peer: z.string(),
    incarnation: z.string(),
    alive: z.boolean(),
    silentMilliseconds: z.number(),
  }),
  /** A target may be chosen, or no longer, and why. */
  z.object({
    event: z.literal('target'),
    target: z.string(),
    /** This start of it, where it tells when it began. */
    start: z.string().optional(),
    service: z.string(),
    state: z.enum([
      'added',
      'reborn',
      'draining',
      'vanished',
      'returned',
      'removed',
      'failing',
      'distrusted',
      'leaving',
      'resting',
      'limited',
      'unlimited',
    ]),
    detail: z.string().optional(),
  }),
  /** One send to one target ended without a usable answer. */
  z.object({
    event: z.literal('try-failed'),
    ...requestFields,
    target: z.string(),
    attempt: z.number(),
    milliseconds: z.number(),
    ran: z.enum(['no', 'unknown']),
    reason: z.string(),
    detail: z.string(),
    /** Requests that the target was taken to have. */
    load: z.number(),
    beliefAgeMilliseconds: z.number(),
  }),
  /** What a target said of itself in an answer could not be read; it counts as not said. */
  z.object({
    event: z.literal('unreadable-answer'),
    target: z.string(),
    service: z.string(),
    detail: z.string(),
  }),
  /**
   * An answer has a header that is meant for hosts and that this one does not know; written once
   * for each name.
   */
  z.object({
    event: z.literal('unknown-header'),
    target: z.string(),
    service: z.string(),
    header: z.string(),
  }),
  /**
   * A target's connections closed before it had answered these requests. `refused`: the target has
   * ended, and one of them may be why. `taken` and `unknown`: the answers were lost, the target
   * lives as far as is known.
   */
  z.object({
    event: z.literal('answers-lost'),
    target: z.string(),
    service: z.string(),
    connection: z.enum(['refused', 'taken', 'unknown']),
    requests: z.array(
      z.object({
        /** The same for each try of the same request, whatever its id and wherever it comes. */
        fingerprint: z.string(),
        requestId: z.string(),
        route: z.string(),
        account: z.string().optional(),
        path: z.string(),
      }),
    ),
  }),
  /**
   * A request is turned away from now on, since these targets ended under it, or no longer. The
   * lines `answers-lost` tell which request has this fingerprint.
   */
  z.object({
    event: z.literal('suspect'),
    fingerprint: z.string(),
    state: z.enum(['suspected', 'cleared']),
    targets: z.array(z.string()),
  }),
  /** What the store is to hold about such a request; not written where another host was first. */
  z.object({
    event: z.literal('suspect-record'),
    fingerprint: z.string(),
    state: z.enum(['suspected', 'tried', 'cleared']),
    isWritten: z.boolean(),
    detail: z.string(),
  }),
  /** A request got no target's answer. */
  z.object({
    event: z.literal('refused'),
    ...requestFields,
    status: z.number(),
    ran: z.enum(['no', 'unknown']),
    reason: z.string(),
    detail: z.string(),
    /**
     * Targets that asked for rest, where all that might take it did; the first few whose rest ends.
     */
    resting: z.array(z.string()).optional(),
    /**
     * Targets whose limit is used up, where that is why; the first few that take a request again.
     */
    limited: z.array(z.string()).optional(),
    attempts: z.number(),
    milliseconds: z.number(),
    beliefAgeMilliseconds: z.number(),
  }),
  /** A request was answered by a target, but late or after more than one try. */
  z.object({
    event: z.literal('answered'),
    ...requestFields,
    status: z.number(),
    target: z.string(),
    attempts: z.number(),
    milliseconds: z.number(),
    load: z.number(),
  }),
  /** Where a service's keys are served now, and what that follows from. */
  z.object({
    event: z.literal('placement'),
    service: z.string(),
    /** Part of the keys that stay in each region, with what its callers ask for in a second. */
    regions: z.array(
      z.object({
        region: z.string(),
        homeShare: z.number(),
        slots: z.number(),
        work: z.number().optional(),
      }),
    ),
  }),
  /** Ordinary answers since the last such line. */
  z.object({
    event: z.literal('summary'),
    answered: z.number(),
    dropped: z.number(),
    inFlight: z.number(),
  }),
]);

export type EntryEvent = z.infer<typeof eventSchema>;

/** Lines about requests that are written in a second; more are counted and left out. */
const MOST_REQUEST_LINES_PER_SECOND = 50;

const REQUEST_EVENTS: ReadonlySet<EntryEvent['event']> = new Set([
  'try-failed',
  'refused',
  'answered',
  'unreadable-answer',
]);
/** States of targets that requests bring about; the others come from records, which are few. */
const REQUEST_STATES: ReadonlySet<string> = new Set([
  'failing',
  'distrusted',
  'limited',
  'unlimited',
]);

/** Whether lines like it come as often as requests do. */
function isOfRequest(event: EntryEvent): boolean {
  return (
    REQUEST_EVENTS.has(event.event) ||
    (event.event === 'target' && REQUEST_STATES.has(event.state)) ||
    (event.event === 'answers-lost' && event.connection !== 'refused') ||
    (event.event === 'suspect-record' && !event.isWritten)
  );
}

/**
 * Bytes that may wait for a reader that does not read, some 1,000 lines; writing never waits, so
 * they would fill the memory.
 */
const MOST_BACKLOG_BYTES = 256 * 1024;

/** Writes events as JSON lines, those about requests at a bounded rate. */
export class EventLog {
  /** Lines left out so far. */
  dropped = 0;
  /** Values of the store that could not be read so far. */
  unreadable = 0;
  #linesLeft = MOST_REQUEST_LINES_PER_SECOND;

  /** @param backlogBytes - what was written and is not read yet */
  constructor(
    readonly logger: Logger,
    readonly backlogBytes: () => number = () => 0,
  ) {}

  write(written: EntryEvent): void {
    this.unreadable += Number(written.event === 'bad-record');
    if (this.backlogBytes() > MOST_BACKLOG_BYTES) {
      this.dropped++;
      return;
    }
    if (isOfRequest(written)) {
      if (this.#linesLeft <= 0) {
        this.dropped++;
        return;
      }
      this.#linesLeft--;
    }
    const { event, ...fields } = written;
    this.logger.info(event, fields);
  }

  /** A second has passed. */
  refill(): void {
    this.#linesLeft = MOST_REQUEST_LINES_PER_SECOND;
  }
}
