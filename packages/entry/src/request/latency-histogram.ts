import type { Histogram } from 'hdr-histogram-js';
// Importing this one file instead of the whole package shortens the start-up.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const SIGNIFICANT_DIGITS = 2;
/** Highest value that histograms distinguish; route timeouts are far below it. */
const MAX_LATENCY_MILLISECONDS = 600_000;

/** Histogram with 32-bit counters. */
const Histogram32 = constructorFromBucketSize(32);

/** Creates a histogram of whole milliseconds. */
export function createLatencyHistogram(): Histogram {
  return new Histogram32(1, MAX_LATENCY_MILLISECONDS, SIGNIFICANT_DIGITS);
}

export function recordLatency(histogram: Histogram, milliseconds: number): void {
  histogram.recordValue(Math.min(MAX_LATENCY_MILLISECONDS, Math.round(milliseconds)));
}
