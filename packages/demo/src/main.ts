/** `npm run demo [-- --keep]`: both deployments in one process, with real requests. */
import { atec, skovlund } from '@ferrylock/test-utils';
import sade from 'sade';
import type { Workload } from './deployment.js';
import { Deployment } from './deployment.js';
import type { DeploymentResult, DrainResult, StopResult } from './summary.js';
import { summarize } from './summary.js';
import type { ServiceLoad } from './traffic.js';
import { Traffic } from './traffic.js';

const PHASE_MILLISECONDS = 3_000;
const UPLOAD_BYTES = 256 * 1024;

const workloads: Readonly<Record<string, Workload>> = {
  'verdict-api': { serviceMilliseconds: 30, answerBytes: 4_096 },
  'sorter-gate': { serviceMilliseconds: 20, answerBytes: 64 },
  'image-intake': { serviceMilliseconds: 80, answerBytes: 64 },
  'quote-desk': { serviceMilliseconds: 40, answerBytes: 2_048 },
  'booking-desk': { serviceMilliseconds: 30, answerBytes: 128 },
  'paper-dock': { serviceMilliseconds: 80, answerBytes: 64 },
};

const loads: Readonly<Record<string, readonly ServiceLoad[]>> = {
  skovlund: [
    { service: 'verdict-api', requestsPerSecond: 200, bodyBytes: 0 },
    { service: 'sorter-gate', requestsPerSecond: 60, bodyBytes: 200 },
    { service: 'image-intake', requestsPerSecond: 15, bodyBytes: UPLOAD_BYTES },
  ],
  atec: [
    { service: 'quote-desk', requestsPerSecond: 200, bodyBytes: 0 },
    { service: 'booking-desk', requestsPerSecond: 40, bodyBytes: 200 },
    { service: 'paper-dock', requestsPerSecond: 15, bodyBytes: UPLOAD_BYTES },
  ],
};

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Drains the first target of the first service, as an operator would. */
async function drainOneTarget(deployment: Deployment): Promise<() => DrainResult> {
  const service = deployment.size.services[0]?.name ?? '';
  const name = `${service}-01`;
  const operator = deployment.operator();
  const calledAt = performance.now();
  const drained = await operator.call('drain.start', {
    account: deployment.account,
    changeId: 'demo-drain',
    basedOn: 1,
    drain: { scope: 'target', service, name },
  });
  if (drained.isErr()) {
    throw new Error(`drain: ${drained.error.message}`);
  }
  const target = deployment.targets.get(service)?.[0];
  return () => ({
    target: name,
    lastNewWorkMilliseconds: (target?.lastRequestAt ?? 0) - calledAt,
  });
}

async function stopOneHost(deployment: Deployment): Promise<StopResult> {
  const daemon = deployment.daemons[3];
  if (daemon === undefined) {
    throw new Error('no daemon to stop');
  }
  deployment.forget(daemon);
  const startedAt = performance.now();
  const { requestsCut } = await daemon.stop();
  return {
    host: daemon.settings.host.id,
    requestsCut,
    tookMilliseconds: performance.now() - startedAt,
  };
}

async function run(deployment: Deployment): Promise<DeploymentResult> {
  const traffic = new Traffic(deployment, loads[deployment.account] ?? []);
  traffic.start();
  await pause(PHASE_MILLISECONDS);
  const drain = await drainOneTarget(deployment);
  await pause(PHASE_MILLISECONDS);
  const stop = await stopOneHost(deployment);
  await pause(PHASE_MILLISECONDS);
  await traffic.end();
  return { deployment, tallies: traffic.tallies, drain: drain(), stop };
}

function printHints(deployments: readonly Deployment[]): void {
  for (const deployment of deployments) {
    const [daemon] = deployment.daemons;
    const service = deployment.size.services[0]?.name ?? '';
    const { account } = deployment;
    const { traffic, control } = daemon?.addresses ?? { traffic: '', control: '' };
    const endpoint = `--endpoint http://${control} --account ${account}`;
    console.log(`\n${account}: ${deployment.daemons.length} entry hosts, for instance ${traffic}`);
    console.log(`  curl 'http://${traffic}/v1/lookup?account=${account}&service=${service}'`);
    console.log(`  curl http://${traffic}/s/${account}/${service}/work`);
    console.log(`  curl http://${control}/metrics`);
    console.log(`  npx ferrylock status ${endpoint}`);
    console.log(`  npx ferrylock lookup ${service} 10.1.0.1 ${endpoint}`);
    console.log(`  npx ferrylock metrics ${endpoint}`);
  }
}

async function main(keep: boolean): Promise<void> {
  console.log('Starting two deployments of 12 entry hosts each, with targets and platform …');
  const deployments = await Promise.all([
    Deployment.start(skovlund, workloads),
    Deployment.start(atec, workloads),
  ]);
  console.log('Sending requests; a target is drained and an entry host stopped meanwhile …\n');
  const results = await Promise.all(deployments.map(run));
  const broken = summarize(results, (text) => {
    console.log(text);
  });
  console.log(
    broken.length === 0 ? '\nEvery promise was kept.' : `\nBROKEN:\n  ${broken.join('\n  ')}`,
  );
  process.exitCode = broken.length === 0 ? 0 : 1;
  if (keep) {
    printHints(deployments);
    console.log('\nRunning until interrupted (Ctrl-C).');
    await new Promise((resolve) => process.once('SIGINT', resolve));
  }
  await Promise.all(deployments.map((deployment) => deployment.stop()));
}

sade('demo', true)
  .option('--keep', 'Stay up afterwards and print commands to try')
  .action(async (options: { keep?: boolean }) => {
    await main(options.keep === true);
  })
  .parse(process.argv);
