import type { ServiceGate } from './service-gate.js';

/** Ways of a slot from afar: the question and its answer, then the request and its answer. */
const WAYS = 4;

/**
 * Whether a slot of a peer is worth asking for. A far slot is taken for the time on the way as well,
 * so that it is only a gain for requests that have waited longer than all of that.
 */
export function isWorthAskingAt(
  gate: Pick<ServiceGate, 'headWaitMilliseconds'>,
  sameRegion: boolean,
  delayMilliseconds: number,
): boolean {
  return sameRegion || gate.headWaitMilliseconds >= WAYS * delayMilliseconds;
}
