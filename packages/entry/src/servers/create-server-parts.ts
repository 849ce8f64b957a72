import type { Clock } from '@ferrylock/utils';
import { afterPoll } from '../after-poll.js';
import type { EntryHostSettings } from '../entry-host-settings.js';
import type { EventLog } from '../event-log.js';
import { ClosedConnectionLog } from './closed-connection-log.js';
import { ConnectionPool } from './connection-pool.js';
import type { SharedServerParts } from './create-server-app.js';
import { DisconnectProbe } from './disconnect-probe.js';
import { ReadPacer } from './read-pacer.js';
import { WaitingBytes } from './waiting-bytes.js';

export interface CreateServerPartsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly settings: Pick<EntryHostSettings, 'maxClientConnections' | 'maxWaitingBytes'>;
}

/** Creates what all servers of a process share. */
export function createServerParts(options: CreateServerPartsOptions): SharedServerParts {
  const closedConnections = new ClosedConnectionLog(options.clock, options.events);
  return {
    pacer: new ReadPacer(afterPoll),
    probe: new DisconnectProbe(options.clock),
    waitingBytes: new WaitingBytes(options.settings.maxWaitingBytes),
    pool: new ConnectionPool({
      maxConnections: options.settings.maxClientConnections,
      onClosed: (port, reason) => {
        closedConnections.record(port, reason);
      },
    }),
  };
}
