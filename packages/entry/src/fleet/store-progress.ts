import type { EventLog } from '../events.js';
import type { StorePosition } from './store-position.js';
import { epochOf, epochFromReported, reportedEpochOf } from './store-position.js';

/** How far the store has come by one of its answers. */
interface ReportedProgress {
  /** How often it has come back from a copy; absent where it does not tell. */
  readonly epoch?: number | undefined;
  readonly revision?: number;
}

/** How far the store has come by its own answers to this host, beside what the host takes over of them. */
export class StoreProgress {
  /** How often it told that it has come back; 0 where it tells none. */
  epoch = 0;
  /** The revision that it told last. */
  revision = 0;
  /** Listings that this host did not take over. */
  refusedListings = 0;
  #isRefusing = false;
  #hasFallen = false;

  constructor(readonly events: EventLog) {}

  /** @param knownRevision - up to which this host knows what the store held */
  record(
    { epoch = this.epoch, revision = this.revision }: ReportedProgress,
    knownRevision: number,
  ) {
    if (epoch > this.epoch && knownRevision > 0) {
      const formerEpoch = this.epoch;
      this.events.write({ event: 'store-epoch', epoch, formerEpoch, revision, knownRevision });
    }
    if (epoch < this.epoch && !this.#hasFallen) {
      this.#hasFallen = true;
      const detail = `expected no smaller number than before: ${this.epoch}, then ${epoch}`;
      this.events.write({ event: 'store-header', header: 'epoch', detail });
    }
    this.epoch = Math.max(this.epoch, epoch);
    this.revision = revision;
  }

  recordListing(isTaken: boolean, knownRevision: number): void {
    if (!isTaken) {
      this.refusedListings++;
    }
    if (!isTaken && !this.#isRefusing) {
      const { epoch, revision } = this;
      this.events.write({ event: 'listing-refused', epoch, revision, knownRevision });
    }
    this.#isRefusing = !isTaken;
  }
}

/**
 * The life of the store that an answer is of. One that tells no return, or fewer than are known of, counts as of the known life.
 *
 * @param known - what was known when the store was asked
 */
export function epochOfResponse(told: number | undefined, known: StorePosition): number {
  const epoch = epochOf(known);
  return told === undefined || told <= reportedEpochOf(epoch) ? epoch : epochFromReported(told);
}

/**
 * The life of the store that a listing is of. One that ends before what was known when it was asked for shows that the store
 * has come back from a copy, though it does not tell.
 */
export function epochOfListing(
  told: ReportedProgress & { readonly revision: number },
  known: StorePosition,
) {
  const epoch = epochOfResponse(told.epoch, known);
  const isBack = epoch === epochOf(known) && told.revision < known.revision;
  return isBack ? epoch + 1 : epoch;
}
