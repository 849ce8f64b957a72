import { connect } from 'node:net';
import { splitAddress } from '../address.js';

/** Several times the way between two regions and back. */
const CHECK_MILLISECONDS = 300;

/**
 * What a connection to an address came to. `refused`: nobody listens there, so the process that did has ended.
 * `taken`: somebody does. `unknown`: the way there or the machine is silent, which says nothing of the process.
 */
export type ConnectionCheck = 'refused' | 'taken' | 'unknown';

/** Tries a connection and closes it at once. */
export type CheckConnection = (address: string) => Promise<ConnectionCheck>;

export const checkConnection: CheckConnection = (address) =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: CHECK_MILLISECONDS });
    const end = (check: ConnectionCheck): void => {
      socket.destroy();
      resolve(check);
    };
    socket.on('connect', () => {
      end('taken');
    });
    socket.on('timeout', () => {
      end('unknown');
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      end(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
    });
  });
