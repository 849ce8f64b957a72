import { z } from 'zod';
import type { ResponseMetadata } from './header-codec.js';
import type { ConnectionUse } from './connection-uses.js';

/** Log fields of a send: where it went and what the head of the response said, as far as known. */
export const sendTraceFields = {
  /** Local port of the connection; absent if nothing was sent. */
  connection: z.number().optional(),
  /** Number of requests that were sent on that connection before. */
  requestsBefore: z.number().optional(),
  /** Status of the response; absent if no response began. */
  answerStatus: z.number().optional(),
  /** Id of the request that the response names; empty if it names none. */
  answerId: z.string().optional(),
  /** The target's own word that it has not run the request, as received. */
  notRunMark: z.string().optional(),
};

export type SendTrace = z.infer<z.ZodObject<typeof sendTraceFields>>;

/** Head of a response, as far as it says whether the request has run. */
export interface TracedHead {
  readonly status: number;
  readonly metadata: Pick<ResponseMetadata, 'requestId' | 'notRunMark'>;
}

export function traceOf(use: ConnectionUse | undefined, head: TracedHead | undefined): SendTrace {
  const mark = head?.metadata.notRunMark;
  return {
    ...(use === undefined ? {} : { connection: use.localPort, requestsBefore: use.requestsBefore }),
    ...(head === undefined
      ? {}
      : { answerStatus: head.status, answerId: head.metadata.requestId ?? '' }),
    ...(mark === undefined ? {} : { notRunMark: mark }),
  };
}
