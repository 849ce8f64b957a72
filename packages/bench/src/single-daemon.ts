import { Daemon, settingsSchema } from '@ferrylock/daemon';
import { declarationSchema } from '@ferrylock/schema';
import type { DaemonParts } from '@ferrylock/daemon';
import type { DeclarationInput } from '@ferrylock/schema';
import { FakeStore, KeyValueEngine } from '@ferrylock/test-utils';
import { silentLogger, SystemClock } from '@ferrylock/utils';
import { Ok } from 'ts-results-es';

const SETTLE_MILLISECONDS = 100;

/** Starts one daemon that serves a declaration by itself, with an in-memory store. */
export async function startSingleDaemon(
  declaration: DeclarationInput,
  parts: DaemonParts = {},
): Promise<Daemon> {
  const settings = settingsSchema.parse({
    host: { id: 'entry-1', region: 'fyn', failureDomain: 'fyn-1' },
    listen: { traffic: '127.0.0.1:0', control: '127.0.0.1:0' },
    platform: { store: 'http://127.0.0.1:1', hostList: 'http://127.0.0.1:1' },
    positions: { 'fyn-1': { region: 'fyn', count: 1 } },
    log: { level: 'silent', requests: 'none' },
  });
  const store = new FakeStore(new KeyValueEngine(), new SystemClock());
  const daemon = new Daemon(settings, {
    logger: silentLogger,
    store,
    hostDirectory: { list: () => Promise.resolve(Ok([])) },
    ...parts,
  });
  await daemon.start();
  const { replica, sync, positions } = daemon.components;
  replica.offer({
    account: declaration.account,
    generation: 1,
    declaration: declarationSchema.parse(declaration),
    drains: [],
    changes: [],
  });
  while (!sync.ready || positions.positions.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MILLISECONDS));
  }
  return daemon;
}
