import { setImmediate } from 'node:timers/promises';
import type { CallerExchange } from './caller-exchange.js';
import { isCallerGone } from './is-caller-gone.js';

/**
 * Checks whether the caller has already closed its connection. After a delay of the event loop both
 * the request and the close may be pending; the close is read one turn of the loop after the
 * request, and a request sent to a target until then is work for nobody.
 */
export async function hasDisconnected(exchange: CallerExchange): Promise<boolean> {
  await setImmediate();
  await setImmediate();
  return isCallerGone(exchange);
}
