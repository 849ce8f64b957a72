import type { CallerExchange } from './caller-exchange.js';

/** Checks whether the caller's end of the connection is known to be closed. */
export function isCallerGone({ request }: Pick<CallerExchange, 'request'>): boolean {
  return request.socket.readableEnded || request.socket.destroyed;
}
