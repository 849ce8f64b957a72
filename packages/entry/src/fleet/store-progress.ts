import type { EventLog } from '../events.js';

/** How far the store has come by one of its answers. */
interface ToldProgress {
  /** Which of its lives it answered in; absent where it does not tell. */
  readonly epoch?: number | undefined;
  readonly revision?: number;
}

/** How far the store has come by its own answers to this host, beside what the host takes over of them. */
export class StoreProgress {
  /** 0 where the store tells none. */
  epoch = 0;
  /** The revision that it told last. */
  revision = 0;
  /** Listings that this host did not take over. */
  refusedListings = 0;
  #isRefusing = false;

  constructor(readonly events: EventLog) {}

  /** @param knownRevision - up to which this host knows what the store held */
  record({ epoch = this.epoch, revision = this.revision }: ToldProgress, knownRevision: number) {
    if (epoch !== this.epoch && knownRevision > 0) {
      const formerEpoch = this.epoch;
      this.events.write({ event: 'store-epoch', epoch, formerEpoch, revision, knownRevision });
    }
    this.epoch = epoch;
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
