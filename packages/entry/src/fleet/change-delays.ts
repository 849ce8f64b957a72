import type { Histogram } from 'hdr-histogram-js';
// Importing this one file instead of the whole package shortens the start-up.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const SIGNIFICANT_DIGITS = 2;
/** Highest delay that the histogram distinguishes. */
const MAX_DELAY_MILLISECONDS = 600_000;

/** Histogram with 32-bit counters. */
const Histogram32 = constructorFromBucketSize(32);

/**
 * Delays from a change in the store until this host applies it. A host knows an upper bound only:
 * the change is newer than the last confirmation that the host was up to date.
 */
export class ChangeDelays {
  /** Number of changes that were applied after the first confirmation. */
  changes = 0;
  /** Upper bounds in milliseconds, one for each batch of changes. */
  readonly bounds: Histogram = new Histogram32(1, MAX_DELAY_MILLISECONDS, SIGNIFICANT_DIGITS);

  /** @param milliseconds - time since the last confirmation; infinite before the first */
  record(changes: number, milliseconds: number): void {
    if (Number.isFinite(milliseconds)) {
      this.changes += changes;
      this.bounds.recordValue(Math.min(MAX_DELAY_MILLISECONDS, Math.round(milliseconds)));
    }
  }
}
