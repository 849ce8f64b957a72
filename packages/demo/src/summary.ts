import type { Deployment } from './deployment.js';
import type { ServiceTally } from './traffic.js';

/** What happened to a target that was drained in mid-run. */
export interface DrainResult {
  readonly target: string;
  /** From the operator's call to the last request that the target was given. */
  readonly lastNewWorkMilliseconds: number;
}

/** What happened when an entry host was stopped in mid-run. */
export interface StopResult {
  readonly host: string;
  readonly requestsCut: number;
  readonly tookMilliseconds: number;
}

/** All that the demonstration found about one deployment. */
export interface DeploymentResult {
  readonly deployment: Deployment;
  readonly tallies: readonly ServiceTally[];
  readonly drain: DrainResult;
  readonly stop: StopResult;
}

/** Prints the results and tells which promises were broken. */
export function summarize(
  results: readonly DeploymentResult[],
  print: (text: string) => void,
): string[] {
  const broken: string[] = [];
  const heading = [
    'account'.padEnd(9),
    'service'.padEnd(13),
    'class'.padEnd(12),
    'requests'.padStart(8),
    'answered'.padStart(8),
    'not run'.padStart(8),
    'unknown'.padStart(8),
    'cut'.padStart(4),
    'ran twice'.padStart(9),
    'p50 ms'.padStart(7),
    'p99 ms'.padStart(7),
  ];
  print(heading.join(' '));
  for (const { deployment, tallies } of results) {
    for (const tally of tallies) {
      print(formatTally(tally, deployment, broken));
    }
  }
  print('');
  for (const result of results) {
    printStops(result, print, broken);
  }
  return broken;
}

function formatTally(tally: ServiceTally, deployment: Deployment, broken: string[]): string {
  const { account, service, latency, outcomes } = tally;
  const count = (outcome: Parameters<typeof outcomes.get>[0]): number => outcomes.get(outcome) ?? 0;
  const repeated = runsMoreThanOnce(deployment, service);
  if (repeated > 0) {
    broken.push(`${account}/${service}: ${repeated} keys ran more than once`);
  }
  if (count('cut') > 0) {
    broken.push(`${account}/${service}: ${count('cut')} requests were cut`);
  }
  return [
    account.padEnd(9),
    service.padEnd(13),
    tally.class.padEnd(12),
    String(tally.requests).padStart(8),
    String(count('answered')).padStart(8),
    String(count('refused not run')).padStart(8),
    String(count('unknown')).padStart(8),
    String(count('cut')).padStart(4),
    String(repeated).padStart(9),
    (latency.getValueAtPercentile(50) / 1_000).toFixed(1).padStart(7),
    (latency.getValueAtPercentile(99) / 1_000).toFixed(1).padStart(7),
  ].join(' ');
}

/** Keys that ran more than once, counted at the targets. */
function runsMoreThanOnce(deployment: Deployment, service: string): number {
  const runs = new Map<string, number>();
  for (const target of deployment.targets.get(service) ?? []) {
    for (const [key, count] of target.runsByKey) {
      runs.set(key, (runs.get(key) ?? 0) + count);
    }
  }
  return [...runs.values()].filter((count) => count > 1).length;
}

function printStops(
  { deployment, drain, stop }: DeploymentResult,
  print: (text: string) => void,
  broken: string[],
): void {
  const { account } = deployment;
  const after = Math.max(0, drain.lastNewWorkMilliseconds).toFixed(0);
  print(`${account}: drained ${drain.target}; its last new work came ${after} ms after the call`);
  const took = (stop.tookMilliseconds / 1_000).toFixed(1);
  print(
    `${account}: stopped ${stop.host} as planned in ${took} s; requests cut: ${stop.requestsCut}`,
  );
  if (stop.requestsCut > 0) {
    broken.push(`${account}: the planned stop cut ${stop.requestsCut} requests`);
  }
  for (const service of deployment.size.services) {
    const over = (deployment.targets.get(service.name) ?? []).filter(
      (target) => target.mostInFlight > service.slots,
    );
    if (over.length > 0) {
      broken.push(`${account}/${service.name}: ${over.length} targets had more work than slots`);
    }
  }
}
