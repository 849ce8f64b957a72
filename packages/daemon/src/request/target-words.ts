import type { IncomingHttpHeaders } from 'node:http';
import { readRest } from '@ferrylock/entry';
import type { Target } from '@ferrylock/steering';
import type { Clock, Logger } from '@ferrylock/utils';

const REST_HEADER = 'retry-after';
const UNAVAILABLE = 503;

export interface TargetWordsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Takes the rests that targets ask for in their answers, and writes them down. */
export class TargetWords {
  /** Rests that targets asked this daemon for; one that is asked for again before its end counts once. */
  rests = 0;
  /** Requests that were sent to a target that had asked for rest. */
  unwantedSends = 0;
  readonly #options: TargetWordsOptions;

  constructor(options: TargetWordsOptions) {
    this.#options = options;
  }

  isResting(target: Target): boolean {
    return target.isResting(this.#options.clock.now());
  }

  /** A request leaves for a target. */
  recordSend(target: Target): void {
    this.unwantedSends += Number(this.isResting(target));
  }

  /** An answer of the target begins. */
  take({ name, address, word }: Target, status: number, headers: IncomingHttpHeaders): void {
    const { clock, logger } = this.#options;
    const milliseconds = status === UNAVAILABLE ? readRest(headers[REST_HEADER]) : undefined;
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
}
