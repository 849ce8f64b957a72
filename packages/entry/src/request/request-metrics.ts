import { AccountMetrics } from './account-metrics.js';
import type { RequestKind } from '@ferrylock/routing';
import type { Histogram } from 'hdr-histogram-js';
// One file of the package: the whole of it takes 40 ms of a host's start to load.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';

const SIGNIFICANT_DIGITS = 2;
/** Longest time that is told apart; route time-outs lie far below it. */
const LONGEST_MILLISECONDS = 600_000;

/** Counts of 32 bits each. */
const CountingHistogram = constructorFromBucketSize(32);

/** What a request is counted under; `none` before its route is known. */
export type RequestClass = RequestKind | 'none';

/** Requests of one class. */
export interface ClassMetrics {
  /** By `answered`, or the reason of a refusal with whether it may have run. */
  readonly outcomes: Map<string, number>;
  /** Milliseconds from the arrival to the final answer. */
  readonly latency: Histogram;
}

/** Counts and latencies of requests, by class and outcome. */
export class RequestMetrics {
  inFlight = 0;
  answered = 0;
  retries = 0;
  readonly classes = new Map<RequestClass, ClassMetrics>();
  readonly accounts = new AccountMetrics();

  recordAnswer(requestClass: RequestClass, milliseconds: number): void {
    this.answered++;
    this.#record(requestClass, 'answered', milliseconds);
  }

  recordRefusal(requestClass: RequestClass, outcome: string, milliseconds: number): void {
    this.#record(requestClass, outcome, milliseconds);
  }

  #record(requestClass: RequestClass, outcome: string, milliseconds: number): void {
    const { outcomes, latency } = this.#classOf(requestClass);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
    latency.recordValue(Math.min(LONGEST_MILLISECONDS, Math.round(milliseconds)));
  }

  #classOf(requestClass: RequestClass): ClassMetrics {
    const known = this.classes.get(requestClass);
    if (known !== undefined) {
      return known;
    }
    const created = {
      outcomes: new Map<string, number>(),
      latency: new CountingHistogram(1, LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS),
    };
    this.classes.set(requestClass, created);
    return created;
  }
}
