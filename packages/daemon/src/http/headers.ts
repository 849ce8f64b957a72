import type { IncomingHttpHeaders } from 'node:http';
import { forwardableHeaders } from '@ferrylock/entry';

/** Caller's remaining time in milliseconds: a duration, since clocks differ. */
export const TIMEOUT_HEADER = 'ferrylock-timeout-ms';
/** Names a request that must not run twice (IETF draft idempotency-key-header). */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** Names the task that a request is part of; its requests are let through or refused together. */
export const TASK_HEADER = 'ferrylock-task';
/** Set by an entry host that passes a keyed request to the one that gave the key out. */
export const FORWARDED_HEADER = 'ferrylock-forwarded';
/** On a target's answer with status 503: it says that it has not run the request. */
export const SHED_HEADER = 'ferrylock-shed';
/** On a target's answer: it is about to stop and wants no new work. */
export const LEAVING_HEADER = 'ferrylock-leaving';
/** On a target's answer: requests a second that it takes from all daemons together. */
export const LIMIT_HEADER = 'ferrylock-limit';
/** On a target's answer: its load, in the ORCA JSON form. */
export const LOAD_REPORT_HEADER = 'endpoint-load-metrics';
/** Names one request in logs, and towards the target. */
export const REQUEST_ID_HEADER = 'ferrylock-request-id';

const OWN_REQUEST_HEADERS = new Set([FORWARDED_HEADER, TIMEOUT_HEADER]);
const OWN_RESPONSE_HEADERS = new Set([
  LOAD_REPORT_HEADER,
  LEAVING_HEADER,
  LIMIT_HEADER,
  SHED_HEADER,
]);

/** A request's headers as they go to the target, with those that ferrylock adds. */
export function requestHeaders(
  headers: IncomingHttpHeaders,
  added: Readonly<Record<string, string>>,
): Record<string, string | string[]> {
  return Object.assign(forwardableHeaders(headers, OWN_REQUEST_HEADERS), added);
}

/** A target's headers as they go to the caller. */
export function responseHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
  return forwardableHeaders(headers, OWN_RESPONSE_HEADERS);
}
