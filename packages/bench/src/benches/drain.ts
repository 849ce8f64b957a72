import { OpenAuthenticator } from '@ferrylock/daemon';
import type { Daemon } from '@ferrylock/daemon';
import { TargetStandIn } from '@ferrylock/test-utils';
import { Pool } from 'undici';
import type { Bench, Row } from '../report.js';
import { atMost, rounded } from '../report.js';
import { startSingleDaemon } from '../single-daemon.js';

const SLOTS = 8;
const SERVICE_MILLISECONDS = 200;
const CALLERS = 10;
const BEFORE_MILLISECONDS = 1_500;
const AFTER_MILLISECONDS = 3_000;
/** Addresses of the two targets, so that a host list can name the one and not the other. */
const ADDRESSES = ['127.0.0.2', '127.0.0.1'];

/** A way of taking a target out of use. */
interface Way {
  readonly name: string;
  drain(daemon: Daemon, target: TargetStandIn): Promise<void> | void;
}

const WAYS: readonly Way[] = [
  {
    name: 'operator’s call',
    drain: async (daemon) => {
      const operator = { subject: 'bench', mayActOn: () => true };
      const { table } = daemon.components.operatorCalls;
      await table['drain.start'].run(
        {
          account: 'atec',
          changeId: 'drain',
          basedOn: 1,
          drain: { scope: 'target', service: 'desk', name: 't0' },
        },
        operator,
      );
    },
  },
  {
    name: 'the target’s own signal',
    drain: (_daemon, target) => {
      target.leaving = true;
    },
  },
  {
    name: 'host list',
    drain: (daemon) => {
      daemon.components.directory.setLeavingAddresses(new Set([ADDRESSES[0] ?? '']));
    },
  },
];

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function measure(way: Way): Promise<Row> {
  const targets = [0, 1].map(
    () => new TargetStandIn({ slots: SLOTS, serviceMilliseconds: () => SERVICE_MILLISECONDS }),
  );
  const ports = await Promise.all(
    targets.map((target, index) => target.start(0, ADDRESSES[index] ?? '')),
  );
  const declared = ports.map((port, index) => [
    `t${index}`,
    { address: ADDRESSES[index], port, slots: SLOTS, failureDomain: 'fyn-1' },
  ]);
  const daemon = await startSingleDaemon(
    {
      account: 'atec',
      failureDomains: { 'fyn-1': { region: 'fyn' } },
      services: {
        desk: {
          repeat: 'free',
          probePath: '/health',
          targets: Object.fromEntries(declared) as Record<string, never>,
        },
      },
    },
    { authenticator: new OpenAuthenticator() },
  );
  const pool = new Pool(`http://${daemon.addresses.traffic}`, { connections: CALLERS });
  const [drained] = targets;
  let running = true;
  let cut = 0;
  const call = async (): Promise<void> => {
    while (running) {
      const response = await pool.request({ method: 'GET', path: '/s/atec/desk/work' });
      await response.body.dump();
      cut += response.statusCode === 200 ? 0 : 1;
    }
  };
  const callers = Array.from({ length: CALLERS }, call);
  await pause(BEFORE_MILLISECONDS);
  const drainedAt = performance.now();
  if (drained !== undefined) {
    await way.drain(daemon, drained);
  }
  let emptyAt = 0;
  const until = performance.now() + AFTER_MILLISECONDS;
  while (performance.now() < until) {
    await pause(5);
    if (drained?.inFlight !== 0) {
      emptyAt = performance.now();
    }
  }
  running = false;
  await Promise.all(callers);
  await pool.destroy();
  await daemon.kill();
  await Promise.all(targets.map((target) => target.stop()));
  return {
    way: way.name,
    lastNewWorkMs: rounded(Math.max(0, (drained?.lastRequestAt ?? 0) - drainedAt)),
    emptyMs: rounded(Math.max(0, emptyAt - drainedAt)),
    notAnswered: cut,
  };
}

/** Time until a target that is taken out of use gets its last new work, and until it is empty. */
export const drain: Bench = async ({ progress }) => {
  const rows: Row[] = [];
  for (const way of WAYS) {
    progress(`${way.name} …`);
    rows.push(await measure(way));
  }
  const worst = (column: string): number => Math.max(...rows.map((row) => Number(row[column])));
  return {
    setup: { callers: CALLERS, serviceMs: SERVICE_MILLISECONDS },
    rows,
    targets: [
      atMost('last new work after the signal', 3_000, worst('lastNewWorkMs'), 'ms'),
      atMost('requests not answered', 0, worst('notAnswered'), 'requests'),
    ],
  };
};
