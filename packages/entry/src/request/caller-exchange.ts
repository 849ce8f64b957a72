import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ClientAccount, Route } from '@ferrylock/routing';
import type { RequestMetadata } from './header-codec.js';

/** A caller's request while it is under way. */
export interface CallerExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly metadata: RequestMetadata;
  /** When it came in, in monotonic milliseconds. */
  readonly arrivedAt: number;
}

/** A caller's request with the route it takes. */
export interface RoutedExchange extends CallerExchange {
  readonly requestId: string;
  /** The client account that it comes from; undefined where callers need none. */
  readonly account: ClientAccount | undefined;
  /** The route as it binds the account's callers. */
  readonly route: Route;
  /** Version of the configuration that the route is from. */
  readonly version: number;
  readonly body: Buffer | undefined;
  /** When it must have its final answer. */
  readonly deadlineAt: number;
}

/** What the choice of target is bound to: the object, or the request where objects do not matter. */
export function affinityKeyOf({ route, metadata: demand, requestId }: RoutedExchange): string {
  return route.hasAffinity ? (demand.affinityKey ?? requestId) : requestId;
}
