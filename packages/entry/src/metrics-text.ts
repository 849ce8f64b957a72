import type { RequestMetrics } from './request/request-metrics.js';

/** Figures of an entry host as Prometheus text. */
export function metricsText(metrics: RequestMetrics): string {
  const lines = [
    '# TYPE ferrylock_requests_in_flight gauge',
    `ferrylock_requests_in_flight ${metrics.inFlight}`,
    '# TYPE ferrylock_requests_answered_total counter',
    `ferrylock_requests_answered_total ${metrics.answered}`,
    '# TYPE ferrylock_retries_total counter',
    `ferrylock_retries_total ${metrics.retries}`,
    '# TYPE ferrylock_refusals_total counter',
    ...[...metrics.refusals].map(
      ([reason, count]) => `ferrylock_refusals_total{reason="${reason}"} ${count}`,
    ),
  ];
  return `${lines.join('\n')}\n`;
}
