import type { Clock } from '@ferrylock/utils';
import { z } from 'zod';

/** That the store itself told a host at some time that it held nothing newer than a change. */
export const storeConfirmationSchema = z.object({
  /** Host and start that were answered. */
  name: z.string(),
  incarnation: z.string(),
  /** Its report that told so first. */
  sequence: z.number().int(),
  /** Revision of the newest change that it knew then, and the store's life; absent, as 0, before the store tells of any return. */
  lastChange: z.number().int(),
  epoch: z.number().int().nonnegative().optional(),
  ageMilliseconds: z.number(),
});

/** An answer as it travels, with its age at the time of sending. */
export type StoreConfirmation = z.infer<typeof storeConfirmationSchema>;

/** An answer as it is kept, by this host's own clock. */
interface StoredConfirmation extends Omit<StoreConfirmation, 'ageMilliseconds'> {
  readonly confirmedAt: number;
}

/**
 * The newest answer of the store that this host heard of, to be passed on. Each answer is taken
 * once, by the number of the report that told it first: otherwise it would grow younger on each way
 * between hosts by the time of the message, and go round for ever.
 */
export class StoreConfirmations {
  readonly #clock: Clock;
  /** Newest report taken of each host. */
  readonly #recorded = new Map<string, { incarnation: string; sequence: number }>();
  #newest: StoredConfirmation | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The newest answer, with its present age; undefined before the first. */
  get newest(): StoreConfirmation | undefined {
    if (this.#newest === undefined) {
      return undefined;
    }
    const { confirmedAt: at, ...answer } = this.#newest;
    return { ...answer, ageMilliseconds: Math.round(this.#clock.now() - at) };
  }

  /** Takes an answer that was heard of; tells when it was given, or undefined where it is not new. */
  record(answer: StoreConfirmation): number | undefined {
    const { name, incarnation, sequence, lastChange, epoch, ageMilliseconds } = answer;
    const taken = this.#recorded.get(name);
    if (taken?.incarnation === incarnation && taken.sequence >= sequence) {
      return undefined;
    }
    this.#recorded.set(name, { incarnation, sequence });
    const at = this.#clock.now() - ageMilliseconds;
    if (at > (this.#newest?.confirmedAt ?? -Infinity)) {
      this.#newest = { name, incarnation, sequence, lastChange, epoch, confirmedAt: at };
    }
    return at;
  }
}
