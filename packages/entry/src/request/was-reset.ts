import type { Socket } from 'node:net';

/**
 * Tells whether a connection that ended was reset, so that an answer whose end it marks may be
 * incomplete. The runtime reports a reset that arrives together with data as an orderly end. The
 * kernel still names the other side of a connection that this one has closed in an orderly way, but
 * not of one that was reset. The runtime remembers a name that was asked for, so that nothing may
 * ask while the connection is open, nor may this be called later than the end is reported.
 */
export function wasReset(socket: Socket): boolean {
  return socket.errored !== null || (socket.readableEnded && socket.remoteAddress === undefined);
}
