import type { StoreProgress } from './fleet/store-progress.js';
import type { AccountRow } from './request/account-metrics.js';
import type { ClassMetrics, RequestMetrics } from './request/request-metrics.js';
import type { LimitedTarget } from './routing/limited-targets.js';
import type { RestingTarget } from './routing/resting-targets.js';

const QUANTILES = [0.5, 0.9, 0.99];
const MILLISECONDS_PER_SECOND = 1_000;

/** What is told of each target that names a limit: the limit, this host's part, and what was sent in the last window. */
const LIMIT_GAUGES: readonly { name: string; figure: (one: LimitedTarget) => number }[] = [
  { name: 'per_second', figure: ({ perSecond }) => perSecond },
  { name: 'part_per_second', figure: ({ partPerSecond }) => partPerSecond },
  { name: 'used', figure: ({ used }) => used },
  { name: 'used_elsewhere', figure: ({ usedElsewhere }) => usedElsewhere },
];

/** What an entry host tells beside its counts of requests. */
export interface HostMetrics {
  /** Age of the newest confirmation of its view; infinite before the first. */
  readonly beliefAgeMilliseconds: number;
  /** Revision of the store up to which this host knows what it held. */
  readonly knownRevision: number;
  /** What the store told of itself. */
  readonly store: Pick<StoreProgress, 'epoch' | 'revision' | 'refusedListings'>;
  readonly configurationVersion: number | undefined;
  readonly peersHeard: number;
  readonly targetsKnown: number;
  readonly logLinesDropped: number;
  /** Values of the store that could not be read, each counted once. */
  readonly unreadableRecords: number;
  /** Targets that ended with answers to this host outstanding. */
  readonly targetsEnded: number;
  /** Rests that targets asked this host for. */
  readonly rests: number;
  /** Requests that were sent to targets that had asked for rest, or said that they leave. */
  readonly unwantedSends: number;
  /** Targets that said in an answer that they leave. */
  readonly targetsSaidLeaving: number;
  /** Targets that have asked this host for rest, and how much of it is left. */
  readonly resting: readonly RestingTarget[];
  /** Limits that targets named, raised or lowered in answers to this host. */
  readonly limits: number;
  /** Requests that were sent to targets while these named a limit. */
  readonly limitedSends: number;
  /** Targets that name a limit, and which. */
  readonly limited: readonly LimitedTarget[];
  /** Requests that are turned away since targets end under them. */
  readonly suspectRequests: number;
}

/** Figures of an entry host in the Prometheus text format. */
export function metricsText(metrics: RequestMetrics, figures: HostMetrics): string {
  const lines = [
    ...gauge('requests_in_flight', metrics.inFlight),
    ...gauge('belief_age_seconds', figures.beliefAgeMilliseconds / MILLISECONDS_PER_SECOND),
    ...gauge('store_epoch', figures.store.epoch),
    ...gauge('store_revision', figures.store.revision),
    ...gauge('known_revision', figures.knownRevision),
    ...counter('refused_listings_total', figures.store.refusedListings),
    ...gauge('configuration_version', figures.configurationVersion ?? 0),
    ...gauge('peers_heard', figures.peersHeard),
    ...gauge('targets_known', figures.targetsKnown),
    ...counter('retries_total', metrics.retries),
    ...counter('log_lines_dropped_total', figures.logLinesDropped),
    ...counter('unreadable_records_total', figures.unreadableRecords),
    ...counter('targets_ended_total', figures.targetsEnded),
    ...gauge('suspect_requests', figures.suspectRequests),
    ...counter('rests_total', figures.rests),
    ...counter('unwanted_sends_total', figures.unwantedSends),
    ...counter('targets_said_leaving_total', figures.targetsSaidLeaving),
    '# TYPE ferrylock_target_rest_seconds gauge',
    ...figures.resting.map(restLine),
    ...counter('limits_total', figures.limits),
    ...counter('limited_sends_total', figures.limitedSends),
    ...LIMIT_GAUGES.flatMap(({ name, figure }) => [
      `# TYPE ferrylock_target_limit_${name} gauge`,
      ...figures.limited.map(
        (one) =>
          `ferrylock_target_limit_${name}{service="${one.service}",target="${one.target}"} ${figure(one)}`,
      ),
    ]),
    '# TYPE ferrylock_requests_total counter',
    '# TYPE ferrylock_request_seconds summary',
  ];
  for (const [name, classMetrics] of metrics.classes) {
    lines.push(...classLines(name, classMetrics));
  }
  lines.push('# TYPE ferrylock_account_requests_total counter');
  lines.push(...metrics.accounts.rows.flatMap(accountLines));
  return `${lines.join('\n')}\n`;
}

function gauge(name: string, value: number): string[] {
  return [`# TYPE ferrylock_${name} gauge`, `ferrylock_${name} ${number(value)}`];
}

function counter(name: string, value: number): string[] {
  return [`# TYPE ferrylock_${name} counter`, `ferrylock_${name} ${value}`];
}

function classLines(name: string, { outcomes, latency }: ClassMetrics): string[] {
  const counts = [...outcomes].map(
    ([outcome, count]) => `ferrylock_requests_total{class="${name}",outcome="${outcome}"} ${count}`,
  );
  const quantiles = QUANTILES.map((quantile) => {
    const seconds = latency.getValueAtPercentile(quantile * 100) / MILLISECONDS_PER_SECOND;
    return `ferrylock_request_seconds{class="${name}",quantile="${quantile}"} ${seconds}`;
  });
  return [...counts, ...quantiles];
}

function accountLines({ account, ...counts }: AccountRow): string[] {
  return Object.entries(counts).map(
    ([outcome, count]) =>
      `ferrylock_account_requests_total{account="${account}",outcome="${outcome}"} ${count}`,
  );
}

function restLine({ service, target, milliseconds }: RestingTarget): string {
  const seconds = milliseconds / MILLISECONDS_PER_SECOND;
  return `ferrylock_target_rest_seconds{service="${service}",target="${target}"} ${seconds}`;
}

/** The format's own word for infinity. */
function number(value: number): string {
  return Number.isFinite(value) ? String(value) : '+Inf';
}
