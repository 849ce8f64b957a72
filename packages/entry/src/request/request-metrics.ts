import { AccountMetrics } from './account-metrics.js';
import { RepeatMetrics } from './repeat-metrics.js';
import { SplitMetrics } from './split-metrics.js';
import { TargetRefusals } from './target-refusals.js';
import type { TransferEnd } from '../transfers/answer-transfer.js';
import type { RequestKind } from '@ferrylock/routing';
import type { Histogram } from 'hdr-histogram-js';
import { createLatencyHistogram, recordLatency } from './latency-histogram.js';

/** Class that a request is counted under; `none` if its route is not known. */
export type RequestClass = RequestKind | 'none';

export interface ClassMetrics {
  /** Counts by `answered`, or by a refusal's reason and whether the request may have run. */
  readonly outcomes: Map<string, number>;
  /** Milliseconds from arrival to final response. */
  readonly latency: Histogram;
}

/** Counts requests and records their latency, by class and outcome. */
export class RequestMetrics {
  inFlight = 0;
  answered = 0;
  readonly classes = new Map<RequestClass, ClassMetrics>();
  readonly accounts = new AccountMetrics();
  readonly repeats = new RepeatMetrics();
  /** Callers' own requests, without those that other hosts handed over. */
  readonly splits = new SplitMetrics();
  /** What targets say of requests that they answer as not run. */
  readonly targetRefusals = new TargetRefusals();
  /** Counts of large answers that were passed on only in part, by how they ended. */
  readonly transferEnds = new Map<TransferEnd, number>();
  /** Large answers that were passed on as they came. */
  transfers = 0;
  /** Transfers whose target had to wait for the caller. */
  pausedTransfers = 0;

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
    recordLatency(latency, milliseconds);
  }

  #classOf(requestClass: RequestClass): ClassMetrics {
    const known = this.classes.get(requestClass);
    if (known !== undefined) {
      return known;
    }
    const created = {
      outcomes: new Map<string, number>(),
      latency: createLatencyHistogram(),
    };
    this.classes.set(requestClass, created);
    return created;
  }
}
