import { connect } from 'node:net';
import { splitAddress } from '../address.js';

/** Several round trips between two regions. */
const CONNECT_TIMEOUT_MILLISECONDS = 300;

/**
 * Result of a connection attempt. `refused`: no process listens at the address any more. `taken`:
 * the connection was accepted. `unknown`: the network or the machine does not respond, so nothing
 * is known about the process.
 */
export type ConnectionCheck = 'refused' | 'taken' | 'unknown';

/** Opens a connection to an address and closes it immediately. */
export type CheckConnection = (address: string) => Promise<ConnectionCheck>;

export const checkConnection: CheckConnection = (address) =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: CONNECT_TIMEOUT_MILLISECONDS });
    const finish = (check: ConnectionCheck): void => {
      socket.destroy();
      resolve(check);
    };
    socket.on('connect', () => {
      finish('taken');
    });
    socket.on('timeout', () => {
      // After a delay of the event loop the timer comes before an acceptance that has arrived.
      setImmediate(finish, 'unknown');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
    });
  });
