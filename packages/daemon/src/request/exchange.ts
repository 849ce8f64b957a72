import type { IncomingMessage, ServerResponse } from 'node:http';
import { taskRank } from '@ferrylock/steering';
import type { Verdict } from '@ferrylock/steering';
import type { Cancellation } from '@ferrylock/utils';
import { REQUEST_ID_HEADER, TASK_HEADER } from '../http/headers.js';
import { problemAnswer } from '../http/problem.js';
import type { ServiceRuntime } from '../services/service-runtime.js';
import type { Attempt } from './attempt.js';

/** An unread body up to this size is read and dropped, so that the connection can go on. */
const DRAINED_BODY_BYTES = 1024 * 1024;

/** A caller's request for one service. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly service: ServiceRuntime;
  /** Path and query as the target is to see them. */
  readonly path: string;
  readonly requestId: string;
}

/** The state of one exchange while it is under way. */
export interface Progress extends Exchange {
  readonly deadlineAt: number;
  readonly caller: Cancellation;
  attempt: Attempt | undefined;
  /** Ends the reading of a body when its time is over. */
  onDeadline: (() => void) | undefined;
}

/** Milliseconds that the caller gives; infinite where it says nothing, undefined where it is wrong. */
export function readTimeout(header: string | string[] | undefined): number | undefined {
  if (header === undefined) {
    return Infinity;
  }
  return typeof header === 'string' && /^\d{1,9}$/.test(header) ? Number(header) : undefined;
}

/** The rank of the task that the request names; a request that names none is a task by itself. */
export function rankOf({ request, requestId }: Progress): number {
  const task = request.headers[TASK_HEADER];
  return taskRank(typeof task === 'string' ? task : requestId);
}

/** Cancels at the target what the caller no longer waits for. */
export function watchCaller(progress: Progress): () => void {
  const { response, caller } = progress;
  const onClose = (): void => {
    if (!response.writableFinished) {
      caller.cancel();
      progress.attempt?.abort('caller-gone');
    }
  };
  response.on('close', onClose);
  return () => response.off('close', onClose);
}

/** Answers an exchange that brought no answer; one that has begun is visibly cut instead. */
export function refuse(exchange: Exchange, verdict: Exclude<Verdict, { kind: 'answered' }>): void {
  const { request, response, requestId } = exchange;
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const answer = problemAnswer(verdict);
  const unread = Number(request.headers['content-length'] ?? 0);
  const isLong = unread > DRAINED_BODY_BYTES || request.headers['transfer-encoding'] !== undefined;
  if (!request.readableEnded) {
    request.resume();
  }
  if (isLong) {
    response.setHeader('connection', 'close');
  }
  response.writeHead(answer.status, { ...answer.headers, [REQUEST_ID_HEADER]: requestId });
  response.end(answer.body);
}
