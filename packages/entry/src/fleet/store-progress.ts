import type { EventLog } from '../event-log.js';
import type { StorePosition } from './store-position.js';
import { epochOf, epochFromReported, reportedEpochOf } from './store-position.js';

/** Progress that the store reports in one response. */
interface ReportedProgress {
  /** Reported epoch; absent if the store reports none. */
  readonly epoch?: number | undefined;
  readonly revision?: number;
}

/** Progress of the store by its responses to this host, whether or not they were applied. */
export class StoreProgress {
  /** Highest epoch that the store reported; 0 if it reports none. */
  epoch = 0;
  /** Revision that the store reported last. */
  revision = 0;
  /** Number of listings that were rejected as outdated. */
  refusedListings = 0;
  #isRejecting = false;
  #hasReportedDecrease = false;

  constructor(readonly events: EventLog) {}

  /** @param knownRevision - revision up to which this host knows the content of the store */
  record(
    { epoch = this.epoch, revision = this.revision }: ReportedProgress,
    knownRevision: number,
  ) {
    if (epoch > this.epoch && knownRevision > 0) {
      const formerEpoch = this.epoch;
      this.events.write({ event: 'store-epoch', epoch, formerEpoch, revision, knownRevision });
    }
    if (epoch < this.epoch && !this.#hasReportedDecrease) {
      this.#hasReportedDecrease = true;
      const detail = `expected an epoch of at least ${this.epoch}, received ${epoch}`;
      this.events.write({ event: 'store-header', header: 'epoch', detail });
    }
    this.epoch = Math.max(this.epoch, epoch);
    this.revision = revision;
  }

  recordListing(isApplied: boolean, knownRevision: number): void {
    if (!isApplied) {
      this.refusedListings++;
    }
    if (!isApplied && !this.#isRejecting) {
      const { epoch, revision } = this;
      this.events.write({ event: 'listing-refused', epoch, revision, knownRevision });
    }
    this.#isRejecting = !isApplied;
  }
}

/**
 * Epoch of a response; the known epoch if the store reports none or an older one.
 *
 * @param known - position known when the request was sent
 */
export function epochOfResponse(reported: number | undefined, known: StorePosition): number {
  const epoch = epochOf(known);
  return reported === undefined || reported <= reportedEpochOf(epoch)
    ? epoch
    : epochFromReported(reported);
}

/**
 * Epoch that a listing belongs to. A listing that ends before the known position of its epoch
 * reveals a restore that the store does not report.
 */
export function epochOfListing(
  reported: ReportedProgress & { readonly revision: number },
  known: StorePosition,
) {
  const epoch = epochOfResponse(reported.epoch, known);
  const isRestored = epoch === epochOf(known) && reported.revision < known.revision;
  return isRestored ? epoch + 1 : epoch;
}
