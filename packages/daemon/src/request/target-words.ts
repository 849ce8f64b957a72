import type { IncomingHttpHeaders } from 'node:http';
import { parseDecimalHeader, parseRetryAfter } from '@ferrylock/entry';
import { SharedBucket } from '@ferrylock/steering';
import type { RateAllotment, Target } from '@ferrylock/steering';
import type { Clock, Logger } from '@ferrylock/utils';
import { LIMIT_HEADER } from '../http/headers.js';

const REST_HEADER = 'retry-after';
const UNAVAILABLE = 503;

export interface TargetWordsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Divides what targets name between all daemons. */
  readonly allotment: RateAllotment;
}

/** Takes the rests that targets ask for in their answers, and the limits that they name, and writes them down. */
export class TargetWords {
  /** Rests that targets asked this daemon for; one that is asked for again before its end counts once. */
  rests = 0;
  /** Requests that were sent to a target that had asked for rest. */
  unwantedSends = 0;
  readonly #options: TargetWordsOptions;

  constructor(options: TargetWordsOptions) {
    this.#options = options;
  }

  /** Monotonic milliseconds. */
  now(): number {
    return this.#options.clock.now();
  }

  isResting(target: Target): boolean {
    return target.isResting(this.#options.clock.now());
  }

  /** A request leaves for a target. */
  recordSend(target: Target): void {
    this.unwantedSends += Number(this.isResting(target));
  }

  /**
   * An answer of the target begins.
   *
   * @param sentAt - when the request was sent, in monotonic milliseconds
   */
  take(target: Target, status: number, headers: IncomingHttpHeaders, sentAt: number): void {
    this.#takeRest(target, status, headers);
    this.#takeLimit(target, headers, sentAt);
  }

  #takeRest({ name, address, word }: Target, status: number, headers: IncomingHttpHeaders): void {
    const { clock, logger } = this.#options;
    const milliseconds = status === UNAVAILABLE ? parseRetryAfter(headers[REST_HEADER]) : undefined;
    if (milliseconds === undefined) {
      return;
    }
    const fields = { target: name, address };
    if (Number.isNaN(milliseconds)) {
      logger.warn('a target’s rest cannot be read: expected seconds, not negative', fields);
    } else if (word.recordRest(milliseconds, clock.now())) {
      this.rests++;
      logger.info('a target asked for rest', { ...fields, milliseconds });
    }
  }

  #takeLimit(target: Target, headers: IncomingHttpHeaders, sentAt: number): void {
    const { clock, logger, allotment } = this.#options;
    const named = parseDecimalHeader(headers[LIMIT_HEADER], Math.min);
    const { name, address, word, namedLimitKey } = target;
    const fields = { target: name, address };
    if (Number.isNaN(named)) {
      logger.warn('a target’s limit cannot be read: expected requests a second', fields);
      return;
    }
    if (!word.limit.record(named, { sentAt, now: clock.now() })) {
      return;
    }
    const { perSecond } = word.limit;
    target.limit =
      perSecond === undefined
        ? undefined
        : new SharedBucket(namedLimitKey, perSecond, allotment, clock);
    logger.info(
      perSecond === undefined ? 'a target names no limit any more' : 'a target named a limit',
      perSecond === undefined ? fields : { ...fields, perSecond },
    );
  }
}
