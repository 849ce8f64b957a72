import type { ServiceMetric } from '@ferrylock/schema';
import type { Verdict } from '@ferrylock/steering';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const LONGEST_MICROSECONDS = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** What requests are counted under. */
export interface MetricLabels {
  readonly account: string;
  readonly service: string;
  readonly class: string;
}

interface Series {
  readonly labels: MetricLabels;
  readonly latency: Histogram;
  readonly outcomes: Map<string, number>;
}

/** Counts and latencies of requests by client account, service and repeat class. */
export class ServiceMetrics {
  readonly #series = new Map<string, Series>();

  /** Counts one request with its outcome and the time until its end. */
  record(labels: MetricLabels, verdict: Verdict, milliseconds: number): void {
    const series = this.#seriesOf(labels);
    const outcome = verdict.kind === 'answered' ? 'answered' : `${verdict.kind}:${verdict.reason}`;
    series.outcomes.set(outcome, (series.outcomes.get(outcome) ?? 0) + 1);
    const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
    series.latency.recordValue(Math.min(LONGEST_MICROSECONDS, Math.max(1, microseconds)));
  }

  summaries(account?: string): ServiceMetric[] {
    return [...this.#series.values()]
      .filter((series) => account === undefined || series.labels.account === account)
      .map(({ labels, latency, outcomes }) => ({
        ...labels,
        count: latency.totalCount,
        outcomes: Object.fromEntries(outcomes),
        p50Milliseconds: latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        p99Milliseconds: latency.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
      }));
  }

  /** All series in the Prometheus text format. */
  prometheusText(): string {
    const lines = [
      '# HELP ferrylock_requests_total Requests by outcome.',
      '# TYPE ferrylock_requests_total counter',
    ];
    for (const { labels, outcomes } of this.#series.values()) {
      for (const [outcome, count] of outcomes) {
        lines.push(`ferrylock_requests_total{${labelText({ ...labels, outcome })}} ${count}`);
      }
    }
    lines.push(
      '# HELP ferrylock_request_seconds Time from a request’s arrival to the end of its answer.',
      '# TYPE ferrylock_request_seconds summary',
    );
    for (const { labels, latency } of this.#series.values()) {
      for (const quantile of [0.5, 0.9, 0.99, 0.999]) {
        const seconds = latency.getValueAtPercentile(quantile * 100) / 1e6;
        const text = labelText({ ...labels, quantile: String(quantile) });
        lines.push(`ferrylock_request_seconds{${text}} ${seconds}`);
      }
      const count = latency.totalCount;
      lines.push(
        `ferrylock_request_seconds_sum{${labelText(labels)}} ${(latency.mean * count) / 1e6 || 0}`,
        `ferrylock_request_seconds_count{${labelText(labels)}} ${count}`,
      );
    }
    return `${lines.join('\n')}\n`;
  }

  #seriesOf(labels: MetricLabels): Series {
    const key = `${labels.account} ${labels.service} ${labels.class}`;
    const known = this.#series.get(key);
    if (known !== undefined) {
      return known;
    }
    const created: Series = {
      labels,
      latency: build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: LONGEST_MICROSECONDS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      }),
      outcomes: new Map(),
    };
    this.#series.set(key, created);
    return created;
  }
}

function labelText(labels: Readonly<Record<string, string>> | MetricLabels): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${String(value)}"`)
    .join(',');
}
