import type { ChangeRecord, LookupResult, OperatorResult, ServiceMetric } from '@ferrylock/schema';
import { formatTable } from '@ferrylock/utils';

export function formatHosts(status: OperatorResult<'status'>): string {
  const rows = status.hosts.map((host) => [
    host.id,
    host.failureDomain,
    host.state,
    host.generation === null ? '-' : String(host.generation),
  ]);
  const inForce = status.hosts.filter((host) => host.state === 'inForce').length;
  return [
    `generation ${status.generation} in force at ${inForce} of ${status.hosts.length} hosts`,
    `key-value service ${status.storeReachable ? 'reachable' : 'not reachable'}`,
    formatTable([['HOST', 'FAILURE DOMAIN', 'STATE', 'GENERATION'], ...rows]),
  ].join('\n');
}

export function formatChanges(changes: readonly ChangeRecord[]): string {
  const rows = changes.map((change) => [
    String(change.generation),
    change.kind,
    change.author,
    change.at,
    change.changeId,
  ]);
  return formatTable([['GENERATION', 'KIND', 'AUTHOR', 'AT', 'CHANGE ID'], ...rows]);
}

export function formatLookup(result: LookupResult): string {
  const rows = result.entryHosts.map((host) => [host.id, host.address, host.failureDomain]);
  return [
    `place ${result.place ?? 'unknown'}, valid for ${result.lifetimeSeconds} s`,
    formatTable([['ENTRY HOST', 'ADDRESS', 'FAILURE DOMAIN'], ...rows]),
  ].join('\n');
}

export function formatMetrics(metrics: readonly ServiceMetric[]): string {
  const rows = metrics.map((metric) => [
    metric.service,
    metric.class,
    String(metric.count),
    metric.p50Milliseconds.toFixed(1),
    metric.p99Milliseconds.toFixed(1),
    Object.entries(metric.outcomes)
      .map(([outcome, count]) => `${outcome}=${count}`)
      .join(' '),
  ]);
  return formatTable([['SERVICE', 'CLASS', 'REQUESTS', 'P50 MS', 'P99 MS', 'OUTCOMES'], ...rows]);
}
