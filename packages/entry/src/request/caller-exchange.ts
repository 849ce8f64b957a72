import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClientAccount, Route } from '@ferrylock/routing';
import type { Handover } from '../handover/handover-headers.js';
import type { RequestMetadata } from './header-codec.js';

/** A caller's request in flight. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query, unmodified. */
  readonly path: string;
  readonly metadata: RequestMetadata;
  /** Arrival time in monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Present if another entry host handed the request over, which is then not handed over again. */
  readonly handover?: Handover | undefined;
}

/** A caller's request with its matched route. */
export interface RoutedExchange extends CallerExchange {
  readonly requestId: string;
  /** Client account of the caller; undefined if callers do not need one. */
  readonly account: ClientAccount | undefined;
  /** Route with the settings that apply to the account. */
  readonly route: Route;
  /** Configuration version that the route belongs to. */
  readonly version: number;
  readonly body: Buffer | undefined;
  /** Monotonic time in milliseconds by which the final response is due. */
  readonly deadlineAt: number;
}

/**
 * Key by which a target is selected: the affinity key if the route has affinity, else the request
 * id.
 */
export function affinityKeyOf({ route, metadata, requestId }: RoutedExchange): string {
  return route.hasAffinity ? (metadata.affinityKey ?? requestId) : requestId;
}
