import type {
  ConfigurationProblem,
  FairAdmission,
  RetryBudgetState,
  ServiceRoom,
} from '@ferrylock/routing';
import type { Histogram } from 'hdr-histogram-js';
import type { ChangeDelays } from './fleet/change-delays.js';
import type { StoreProgress } from './fleet/store-progress.js';
import type { DatagramCounts } from './peers/datagram-counts.js';
import type { PortConnections } from './servers/connection-pool.js';
import type { RequestQueue } from './queue/request-queue.js';
import type { AccountRow } from './request/account-metrics.js';
import type { ServiceRepeats } from './request/repeat-metrics.js';
import type { ClassMetrics, RequestMetrics } from './request/request-metrics.js';
import type { ExceededPart } from './request/endless-answer-counts.js';
import type { StrayCount } from './request/stray-recorder.js';
import type { LimitedTarget } from './routing/limited-targets.js';
import type { RestingTarget } from './routing/resting-targets.js';

const QUANTILES = [0.5, 0.9, 0.99];
const MILLISECONDS_PER_SECOND = 1_000;

/** Gauges of a target that advertises a limit. */
const LIMIT_GAUGES: readonly { name: string; value: (target: LimitedTarget) => number }[] = [
  { name: 'per_second', value: ({ perSecond }) => perSecond },
  { name: 'part_per_second', value: ({ partPerSecond }) => partPerSecond },
  { name: 'used', value: ({ used }) => used },
  { name: 'used_elsewhere', value: ({ usedElsewhere }) => usedElsewhere },
];

/** Gauges of the room of a service. */
const ROOM_GAUGES: readonly { name: string; value: (room: ServiceRoom) => number }[] = [
  { name: 'slots', value: ({ slots }) => slots },
  { name: 'load', value: ({ load }) => load },
  { name: 'work', value: ({ work }) => work ?? 0 },
];

/** Gauges of the retry budget of a service. */
const BUDGET_GAUGES: readonly { name: string; value: (budget: RetryBudgetState) => number }[] = [
  { name: 'requests', value: ({ requests }) => requests },
  { name: 'repeats', value: ({ repeats }) => repeats },
  { name: 'available', value: ({ available }) => available },
  { name: 'slack_share', value: ({ slackShare }) => slackShare },
  {
    name: 'age_seconds',
    value: ({ ageMilliseconds }) => ageMilliseconds / MILLISECONDS_PER_SECOND,
  },
];

/** Metrics of an entry host other than its request counts. */
export interface HostMetrics {
  /** Time since the last confirmation of the view; infinite before the first. */
  readonly beliefAgeMilliseconds: number;
  /** Revision of the store up to which this host knows its content. */
  readonly knownRevision: number;
  /** Progress that the store reported. */
  readonly store: Pick<StoreProgress, 'epoch' | 'revision' | 'refusedListings'>;
  /** Datagrams that this host sent to peers. */
  readonly datagrams: Pick<
    DatagramCounts,
    'sent' | 'sentBytes' | 'failed' | 'largestBytes' | 'omittedRows'
  >;
  /** Calls to peers for changes of the store. */
  readonly peerCalls: { readonly total: number; readonly failed: number };
  /** Bounds on the time that connections waited until they were accepted. */
  readonly acceptDelays: Histogram;
  /** Connections of clients, and those that this host closed, by port. */
  readonly ports: readonly Pick<PortConnections, 'name' | 'size' | 'closed'>[];
  /** Waits of requests between reading and start, and the requests that did not start. */
  readonly queue: Pick<RequestQueue, 'size' | 'waits' | 'refused' | 'callersGone'>;
  /** Share of the callers of each region that are led to other regions. */
  readonly overflowShares: ReadonlyMap<string, number>;
  readonly changeDelays: ChangeDelays;
  readonly configurationVersion: number | undefined;
  /** Parts of the active configuration that cannot be read. */
  readonly configurationProblems: readonly ConfigurationProblem[];
  readonly peersHeard: number;
  readonly targetsKnown: number;
  /** Whether this host reaches no target at all. */
  readonly reachesNone: boolean;
  /** Number of failure domains with targets to which new connections fail. */
  readonly unreachableDomains: number;
  /** Requests handed over to other entry hosts, by outcome. */
  readonly handovers: ReadonlyMap<string, number>;
  /** Numbers of requests of other entry hosts that this host took and rejected. */
  readonly handoversTaken: number;
  readonly handoversRejected: number;
  /** Room of each service over all its targets, as known here. */
  readonly rooms: readonly (ServiceRoom & { readonly service: string })[];
  /** What this host counts and grants of the repeats of each service. */
  readonly retryBudgets: readonly (RetryBudgetState & { readonly service: string })[];
  /** Accounts that get less of a service than they ask for. */
  readonly parts: FairAdmission['parts'];
  /** Number of requests refused beyond the parts of accounts. */
  readonly refusedOverPart: number;
  /** Bytes of requests and answers that this host holds. */
  readonly heldBodyBytes: number;
  readonly logLinesDropped: number;
  /** Number of values in the store that could not be decoded. */
  readonly unreadableRecords: number;
  /** Failures of background tasks, by name. */
  readonly taskFailures: ReadonlyMap<string, number>;
  /** Number of targets that crashed while requests of this host were in flight. */
  readonly targetsEnded: number;
  /** Responses that were not taken as answers to the requests that were sent. */
  readonly strayResponses: readonly StrayCount[];
  /** Answers that were cut off since they exceeded a bound, by the part that did. */
  readonly endlessAnswers: ReadonlyMap<ExceededPart, number>;
  /** Number of answers without a length that a reset broke off. */
  readonly resetAnswers: number;
  /** Number of rests, which are back-offs that a target requests through Retry-After. */
  readonly rests: number;
  /** Number of requests sent to targets that were resting or leaving. */
  readonly unwantedSends: number;
  /** Number of targets that announced in a response that they are leaving. */
  readonly targetsSaidLeaving: number;
  /** Targets that are resting, with the remaining time. */
  readonly resting: readonly RestingTarget[];
  /** Number of changes of limits that targets advertised to this host. */
  readonly limits: number;
  /** Number of requests sent to targets that advertise a limit. */
  readonly limitedSends: number;
  /** Targets that advertise a limit. */
  readonly limited: readonly LimitedTarget[];
  /** Number of distinct requests that are rejected because they crash targets. */
  readonly suspectRequests: number;
}

/** Formats the metrics of an entry host in the Prometheus text format. */
export function metricsText(metrics: RequestMetrics, host: HostMetrics): string {
  const lines = [
    ...gauge('requests_in_flight', metrics.inFlight),
    ...gauge('belief_age_seconds', host.beliefAgeMilliseconds / MILLISECONDS_PER_SECOND),
    ...gauge('store_epoch', host.store.epoch),
    ...gauge('store_revision', host.store.revision),
    ...gauge('known_revision', host.knownRevision),
    ...counter('refused_listings_total', host.store.refusedListings),
    ...gauge('configuration_version', host.configurationVersion ?? 0),
    '# TYPE ferrylock_configuration_problem gauge',
    ...host.configurationProblems.map((problem) => problemLine(problem, host)),
    ...counter('changes_total', host.changeDelays.changes),
    '# TYPE ferrylock_change_delay_seconds summary',
    ...quantileLines('change_delay_seconds', host.changeDelays.bounds),
    '# TYPE ferrylock_accept_delay_seconds summary',
    ...quantileLines('accept_delay_seconds', host.acceptDelays),
    '# TYPE ferrylock_queue_wait_seconds summary',
    ...quantileLines('queue_wait_seconds', host.queue.waits),
    '# TYPE ferrylock_client_connections gauge',
    ...host.ports.map(({ name, size }) => `ferrylock_client_connections{port="${name}"} ${size}`),
    '# TYPE ferrylock_client_connections_closed_total counter',
    ...host.ports.flatMap(closedLines),
    ...gauge('requests_waiting', host.queue.size),
    ...counter('queue_refused_total', host.queue.refused),
    ...counter('queue_callers_gone_total', host.queue.callersGone),
    '# TYPE ferrylock_region_overflow_share gauge',
    ...[...host.overflowShares].map(
      ([region, share]) => `ferrylock_region_overflow_share{region="${region}"} ${share}`,
    ),
    ...counter('datagrams_sent_total', host.datagrams.sent),
    ...counter('datagram_bytes_sent_total', host.datagrams.sentBytes),
    ...counter('datagrams_failed_total', host.datagrams.failed),
    ...gauge('largest_datagram_bytes', host.datagrams.largestBytes),
    ...counter('omitted_rows_total', host.datagrams.omittedRows),
    ...counter('peer_calls_total', host.peerCalls.total),
    ...counter('peer_calls_failed_total', host.peerCalls.failed),
    ...gauge('peers_heard', host.peersHeard),
    ...gauge('targets_known', host.targetsKnown),
    ...gauge('reaches_no_target', Number(host.reachesNone)),
    ...gauge('unreachable_domains', host.unreachableDomains),
    '# TYPE ferrylock_handovers_total counter',
    ...[...host.handovers].map(
      ([outcome, count]) => `ferrylock_handovers_total{outcome="${outcome}"} ${count}`,
    ),
    ...counter('handovers_taken_total', host.handoversTaken),
    ...counter('handovers_rejected_total', host.handoversRejected),
    ...counter('transfers_total', metrics.transfers),
    ...counter('transfers_paused_total', metrics.pausedTransfers),
    ...ROOM_GAUGES.flatMap(({ name, value }) => [
      `# TYPE ferrylock_service_${name} gauge`,
      ...host.rooms.map(
        (room) => `ferrylock_service_${name}{service="${room.service}"} ${value(room)}`,
      ),
    ]),
    ...counter('over_part_total', host.refusedOverPart),
    '# TYPE ferrylock_account_part_per_second gauge',
    ...host.parts.map(
      ({ service, account, partPerSecond }) =>
        `ferrylock_account_part_per_second{service="${service}",account="${account}"} ${partPerSecond}`,
    ),
    '# TYPE ferrylock_split_requests_total counter',
    ...metrics.splits.rows.map(
      ({ route, service, count }) =>
        `ferrylock_split_requests_total{route="${route}",service="${service}"} ${count}`,
    ),
    ...gauge('bodies_held_bytes', host.heldBodyBytes),
    ...counter('retries_total', metrics.repeats.total),
    '# TYPE ferrylock_repeats_total counter',
    ...metrics.repeats.rows.flatMap(repeatLines),
    '# TYPE ferrylock_repeats_denied_total counter',
    ...metrics.repeats.rows.map(
      ({ service, denied }) => `ferrylock_repeats_denied_total{service="${service}"} ${denied}`,
    ),
    ...BUDGET_GAUGES.flatMap(({ name, value }) => [
      `# TYPE ferrylock_retry_budget_${name} gauge`,
      ...host.retryBudgets.map(
        (budget) => `ferrylock_retry_budget_${name}{service="${budget.service}"} ${value(budget)}`,
      ),
    ]),
    ...counter('log_lines_dropped_total', host.logLinesDropped),
    ...counter('unreadable_records_total', host.unreadableRecords),
    '# TYPE ferrylock_task_failures_total counter',
    ...[...host.taskFailures].map(
      ([task, count]) => `ferrylock_task_failures_total{task="${task}"} ${count}`,
    ),
    ...counter('targets_ended_total', host.targetsEnded),
    ...gauge('suspect_requests', host.suspectRequests),
    '# TYPE ferrylock_target_refusals_total counter',
    ...metrics.targetRefusals.counts.map(
      ({ status, isMarked, count }) =>
        `ferrylock_target_refusals_total{status="${status}",mark="${isMarked}"} ${count}`,
    ),
    '# TYPE ferrylock_stray_responses_total counter',
    ...host.strayResponses.map(
      ({ kind, id, count }) =>
        `ferrylock_stray_responses_total{kind="${kind}",id="${id}"} ${count}`,
    ),
    '# TYPE ferrylock_endless_answers_total counter',
    ...[...host.endlessAnswers].map(
      ([part, count]) => `ferrylock_endless_answers_total{part="${part}"} ${count}`,
    ),
    ...counter('reset_answers_total', host.resetAnswers),
    ...counter('rests_total', host.rests),
    ...counter('unwanted_sends_total', host.unwantedSends),
    ...counter('targets_said_leaving_total', host.targetsSaidLeaving),
    '# TYPE ferrylock_target_rest_seconds gauge',
    ...host.resting.map(restLine),
    ...counter('limits_total', host.limits),
    ...counter('limited_sends_total', host.limitedSends),
    ...LIMIT_GAUGES.flatMap(({ name, value }) => [
      `# TYPE ferrylock_target_limit_${name} gauge`,
      ...host.limited.map(
        (one) =>
          `ferrylock_target_limit_${name}{service="${one.service}",target="${one.target}"} ${value(one)}`,
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

function problemLine(
  { field, value = '' }: ConfigurationProblem,
  { configurationVersion = 0 }: HostMetrics,
): string {
  const labels = `version="${configurationVersion}",field=${JSON.stringify(field)}`;
  return `ferrylock_configuration_problem{${labels},value=${JSON.stringify(value)}} 1`;
}

function closedLines({ name, closed }: HostMetrics['ports'][number]): string[] {
  return [...closed].map(
    ([reason, count]) =>
      `ferrylock_client_connections_closed_total{port="${name}",reason="${reason}"} ${count}`,
  );
}

function gauge(name: string, value: number): string[] {
  return [`# TYPE ferrylock_${name} gauge`, `ferrylock_${name} ${formatNumber(value)}`];
}

function counter(name: string, value: number): string[] {
  return [`# TYPE ferrylock_${name} counter`, `ferrylock_${name} ${value}`];
}

function classLines(name: string, { outcomes, latency }: ClassMetrics): string[] {
  const counts = [...outcomes].map(
    ([outcome, count]) => `ferrylock_requests_total{class="${name}",outcome="${outcome}"} ${count}`,
  );
  return [...counts, ...quantileLines('request_seconds', latency, `class="${name}",`)];
}

/** @param labels - further labels, each followed by a comma */
function quantileLines(name: string, milliseconds: Histogram, labels = ''): string[] {
  return QUANTILES.map((quantile) => {
    const seconds = milliseconds.getValueAtPercentile(quantile * 100) / MILLISECONDS_PER_SECOND;
    return `ferrylock_${name}{${labels}quantile="${quantile}"} ${seconds}`;
  });
}

function accountLines({ account, ...counts }: AccountRow): string[] {
  return Object.entries(counts).map(
    ([outcome, count]) =>
      `ferrylock_account_requests_total{account="${account}",outcome="${outcome}"} ${count}`,
  );
}

function repeatLines({ service, granted }: ServiceRepeats): string[] {
  return [...granted].map(
    ([cause, count]) => `ferrylock_repeats_total{service="${service}",cause="${cause}"} ${count}`,
  );
}

function restLine({ service, target, milliseconds }: RestingTarget): string {
  const seconds = milliseconds / MILLISECONDS_PER_SECOND;
  return `ferrylock_target_rest_seconds{service="${service}",target="${target}"} ${seconds}`;
}

/** Formats a number, with infinity as the text format spells it. */
function formatNumber(value: number): string {
  return Number.isFinite(value) ? String(value) : '+Inf';
}
