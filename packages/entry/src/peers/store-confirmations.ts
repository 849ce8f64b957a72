import type { Clock } from '@ferrylock/utils';
import { z } from 'zod';
import type { FleetView } from '../fleet/fleet-view.js';
import { isAfter } from '../fleet/store-position.js';

/** Confirmation by the store to a host that it held nothing newer than a revision. */
export const storeConfirmationSchema = z.object({
  /** Host and incarnation that received the confirmation. */
  name: z.string(),
  incarnation: z.string(),
  /** Sequence number of the first report that carried it. */
  sequence: z.number().int(),
  /** Revision of the host's newest change at that time. */
  lastChange: z.number().int(),
  /** Epoch of `lastChange`; absent means 0. */
  epoch: z.number().int().nonnegative().optional(),
  ageMilliseconds: z.number(),
});

export type StoreConfirmation = z.infer<typeof storeConfirmationSchema>;

/** Confirmations kept for a host that does not have the change they confirm yet. */
const MAX_PENDING = 32;

/** A confirmation with its time by this host's clock. */
interface StoredConfirmation extends Omit<StoreConfirmation, 'ageMilliseconds'> {
  readonly confirmedAt: number;
}

/**
 * Keeps the newest store confirmation that this host has received, to pass it on. Each confirmation
 * is accepted only once, by sequence number: ages exclude transit time, so one that circulates
 * between hosts would otherwise appear ever more recent.
 */
export class StoreConfirmations {
  readonly #clock: Clock;
  readonly #readDelay: () => number;
  /** Newest sequence number recorded, by host name. */
  readonly #recorded = new Map<string, { incarnation: string; sequence: number }>();
  #newest: StoredConfirmation | undefined;
  /** Confirmations that no view was confirmed by yet, in the order in which they arrived. */
  readonly #pending: StoredConfirmation[] = [];

  /**
   * @param readDelay - milliseconds that a message read now may have waited in this host's socket, as
   *   after a pause of the process
   */
  constructor(clock: Clock, readDelay: () => number = () => 0) {
    this.#clock = clock;
    this.#readDelay = readDelay;
  }

  /** The newest confirmation with its current age; undefined before the first. */
  get newest(): StoreConfirmation | undefined {
    if (this.#newest === undefined) {
      return undefined;
    }
    const { confirmedAt, ...confirmation } = this.#newest;
    return { ...confirmation, ageMilliseconds: Math.round(this.#clock.now() - confirmedAt) };
  }

  /** Records a confirmation and returns its time, or undefined if it is not new. */
  record(confirmation: StoreConfirmation): number | undefined {
    const { name, incarnation, sequence, lastChange, epoch, ageMilliseconds } = confirmation;
    const recorded = this.#recorded.get(name);
    if (recorded?.incarnation === incarnation && recorded.sequence >= sequence) {
      return undefined;
    }
    this.#recorded.set(name, { incarnation, sequence });
    const confirmedAt = this.#clock.now() - ageMilliseconds - this.#readDelay();
    const stored = { name, incarnation, sequence, lastChange, epoch, confirmedAt };
    if (confirmedAt > (this.#newest?.confirmedAt ?? -Infinity)) {
      this.#newest = stored;
    }
    this.#pending.push(stored);
    if (this.#pending.length > MAX_PENDING) {
      this.#pending.shift();
    }
    return confirmedAt;
  }

  /**
   * Confirms a view by all confirmations of changes that it has. Those of newer ones stay for when it
   * has these, since each confirmation is received only once.
   */
  apply(view: FleetView): void {
    const isAhead = ({ epoch, lastChange: revision }: StoredConfirmation): boolean =>
      isAfter({ epoch, revision }, view.lastChange);
    const ahead = this.#pending.filter(isAhead);
    for (const { name, epoch, lastChange: revision, confirmedAt } of this.#pending) {
      view.confirm({ epoch, revision }, { at: confirmedAt, source: name });
    }
    this.#pending.splice(0, Infinity, ...ahead);
  }
}
