import { isDelimited } from '@ferrylock/entry';
import type { IncomingHttpHeaders, ServerResponse } from 'node:http';
import type { MayHaveRun, NotRun, Target, Verdict } from '@ferrylock/steering';
import { mayHaveRun, notRun } from '@ferrylock/steering';
import {
  LEAVING_HEADER,
  LOAD_REPORT_HEADER,
  REQUEST_ID_HEADER,
  responseHeaders,
  SHED_HEADER,
} from '../http/headers.js';
import { parseLoadReport } from '../http/load-report.js';
import type { RequestBody } from './request-body.js';
import { BodyTooLarge } from './request-body.js';
import type { FlowControl, TargetClient, TargetExchange, TargetRequest } from './target-client.js';
import type { TargetWords } from './target-words.js';

const SHED_VALUE = 'not-run';
const STATUS_WITHOUT_BODY = new Set([204, 304]);

/** Why a try was ended from this side. */
class AttemptAborted extends Error {
  constructor(readonly reason: 'deadline' | 'caller-gone') {
    super(reason);
  }
}

/** An answer that must not be passed on as a good one. */
class UnusableAnswer extends Error {}

export interface AttemptOptions {
  readonly client: TargetClient;
  readonly request: TargetRequest;
  readonly body: RequestBody;
  readonly response: ServerResponse;
  /** Whether a good answer counts only once the target has been given the whole body. */
  readonly wholeUpload: boolean;
  /** Told what targets say of themselves. */
  readonly words: TargetWords;
  /** The target as this daemon observes it; absent when another entry host is asked. */
  readonly target?: Target;
}

/**
 * One try at one target, from the connection to the last byte of the answer. It answers the caller
 * itself when the target has answered; what else comes of it is told by the verdict.
 */
export class Attempt implements TargetExchange {
  readonly verdict: Promise<Verdict>;
  readonly #options: AttemptOptions;
  #settle: (verdict: Verdict) => void = () => undefined;
  #settled = false;
  #started = false;
  #abort: ((reason: Error) => void) | undefined;
  #abortedBy: AttemptAborted | undefined;
  #status = 0;
  #shed = false;
  readonly #sentAt: number;
  #isUnwanted = false;
  #answering = false;
  #flow: FlowControl | undefined;
  /** Bytes of the answer still to come; not a number where no length was declared. */
  #remainingBytes = Number.NaN;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.verdict = new Promise((resolve) => {
      this.#settle = resolve;
    });
    this.#sentAt = options.words.now();
    if (options.target !== undefined) {
      options.words.recordSend(options.target);
    }
    options.client.send(options.request, this);
  }

  /** Ends the try: the caller has gone, or its time is over. */
  abort(reason: 'deadline' | 'caller-gone'): void {
    if (this.#settled) {
      return;
    }
    const error = new AttemptAborted(reason);
    this.#abortedBy = error;
    if (this.#abort === undefined) {
      this.#finish(notRun(reason, 'ended before it was sent to a target'));
    } else {
      this.#abort(error);
    }
  }

  started(abort: (reason: Error) => void): void {
    const { target, words } = this.#options;
    if (this.#settled || this.#started) {
      // Never sent a second time by the transport, and not at all once its outcome has been told.
      abort(this.#abortedBy ?? new Error('a request is sent once'));
      return;
    }
    if (target !== undefined && words.isResting(target)) {
      // It waited for its connection while the target asked for rest.
      this.#isUnwanted = true;
      abort(new Error('the target asked for rest meanwhile'));
      return;
    }
    this.#started = true;
    this.#abort = abort;
  }

  answered(status: number, headers: IncomingHttpHeaders, flow: FlowControl): void {
    const { response, target, words } = this.#options;
    this.#status = status;
    if (target !== undefined) {
      target.reportedLoad = parseLoadReport(headers[LOAD_REPORT_HEADER]) ?? target.reportedLoad;
      if (headers[LEAVING_HEADER] !== undefined) {
        target.leaving = true;
        target.saidLeaving++;
      }
      words.take(target, status, headers, this.#sentAt);
    }
    if (status === 503 && headers[SHED_HEADER] === SHED_VALUE) {
      this.#takeShed(headers);
      return;
    }
    const fault = this.#faultOf(status, headers);
    if (fault !== undefined) {
      this.#abort?.(new UnusableAnswer(fault));
      return;
    }
    this.#answering = true;
    this.#flow = flow;
    this.#remainingBytes = Number(headers['content-length'] ?? Number.NaN);
    response.writeHead(status, responseHeaders(headers));
  }

  data(chunk: Buffer): void {
    if (this.#shed) {
      return;
    }
    const { response } = this.#options;
    this.#remainingBytes -= chunk.length;
    if (this.#remainingBytes === 0) {
      // The last byte of the declared length: head, body and end leave in one write.
      response.end(chunk);
      return;
    }
    if (!response.write(chunk)) {
      this.#pauseUntilDrained(response);
    }
  }

  ended(): void {
    if (this.#shed) {
      this.#finish(notRun('target-shed', 'the target sheds load and has not run it', 1));
      return;
    }
    const { response } = this.#options;
    if (!response.writableEnded) {
      response.end();
    }
    this.#finish({ kind: 'answered', status: this.#status });
  }

  failed(error: Error): void {
    if (this.#answering) {
      // The caller has part of the answer: cutting the connection shows that it is not whole.
      this.#options.response.destroy();
    }
    this.#finish(this.#verdictOn(error));
  }

  /** Believes that the target sheds this request if it names it; others may have been shed before. */
  #takeShed(headers: IncomingHttpHeaders): void {
    const { request } = this.#options;
    this.#shed = headers[REQUEST_ID_HEADER] === request.headers[REQUEST_ID_HEADER];
    if (!this.#shed) {
      this.#abort?.(new UnusableAnswer('the target’s refusal does not name this request'));
    }
  }

  #pauseUntilDrained(response: ServerResponse): void {
    this.#flow?.pause();
    response.once('drain', () => {
      this.#flow?.resume();
    });
  }

  /** An answer whose end cannot be told from a cut, or that came before the whole upload had left. */
  #faultOf(status: number, headers: IncomingHttpHeaders): string | undefined {
    const { request, body, wholeUpload } = this.#options;
    const hasBody = request.method !== 'HEAD' && !STATUS_WITHOUT_BODY.has(status);
    if (hasBody && !isDelimited(headers)) {
      return 'the target’s answer does not say where it ends';
    }
    if (wholeUpload && status < 300 && !body.sentWhole) {
      return 'the target confirmed an upload before it had the whole of it';
    }
    return undefined;
  }

  #verdictOn(error: Error): NotRun | MayHaveRun {
    if (this.#isUnwanted) {
      return notRun('target-shed', error.message, 1);
    }
    if (!this.#started) {
      return notRun('connect-failed', `no connection to the target: ${error.message}`, 1);
    }
    if (this.#abortedBy !== undefined) {
      const { reason } = this.#abortedBy;
      const detail =
        reason === 'deadline'
          ? 'no whole answer came in time'
          : 'the caller went away before the answer was whole';
      return mayHaveRun(reason, detail);
    }
    if (error instanceof BodyTooLarge) {
      return mayHaveRun('too-large', error.message);
    }
    return mayHaveRun('target-failed', `the target gave no whole answer: ${error.message}`);
  }

  #finish(verdict: Verdict): void {
    if (!this.#settled) {
      this.#settled = true;
      this.#settle(verdict);
    }
  }
}
