import type { IncomingMessage } from 'node:http';
import type { Clock } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ShutdownWindow } from '../shutdown-window.js';
import type { ByteBudget } from '../transfers/byte-budget.js';

/** Reason why a request body was not read completely. */
export type BodyFailure =
  'too-large' | 'too-many-bytes-held' | 'too-late' | 'stopping' | 'caller-gone';

/** Reason why a body is awaited no longer. */
type BodyTimeout = Extract<BodyFailure, 'too-late' | 'stopping'>;

/** Limits for reading one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Monotonic time in milliseconds by which the body must be complete; may be infinite. */
  readonly deadlineAt: number;
}

/**
 * Buffers request bodies in memory, so that a request can be retried at another target. The memory
 * of all buffered bodies together is bounded.
 */
export class BodyReader {
  constructor(
    readonly clock: Clock,
    readonly budget: ByteBudget,
    readonly shutdownWindow: Pick<ShutdownWindow, 'onClose'>,
  ) {}

  /** Reads a request's body; undefined if it has none. */
  async read(
    request: IncomingMessage,
    limits: BodyLimits,
  ): Promise<Result<Buffer | undefined, BodyFailure>> {
    const declared = request.headers['content-length'];
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    if (!isChunked && (declared === undefined || declared === '0')) {
      return Ok(undefined);
    }
    if (Number(declared ?? 0) > limits.maxBytes) {
      return Err('too-large');
    }
    const timer = this.#startTimer(limits);
    try {
      return await this.#collect(request, limits.maxBytes, timer.timedOut);
    } finally {
      timer.cancel();
    }
  }

  /** Returns the memory of a body that is no longer needed to the budget. */
  release(body: Buffer | undefined): void {
    this.budget.release(body?.length ?? 0);
  }

  /** @param timedOut - resolves when the deadline has passed, or this host can answer no more */
  async #collect(
    request: IncomingMessage,
    maxBytes: number,
    timedOut: Promise<BodyTimeout>,
  ): Promise<Result<Buffer, BodyFailure>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const fail = (failure: BodyFailure): Err<BodyFailure> => {
      this.budget.release(bytes);
      return Err(failure);
    };
    // Keep the connection open: it still has to carry the error response.
    const source = request.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    try {
      for (;;) {
        const step = await Promise.race([source.next(), timedOut]);
        if (typeof step === 'string') {
          return fail(step);
        }
        if (step.done === true) {
          return Ok(Buffer.concat(chunks));
        }
        bytes += step.value.length;
        this.budget.acquire(step.value.length);
        chunks.push(step.value);
        if (bytes > maxBytes) {
          return fail('too-large');
        }
        if (this.budget.isExceeded) {
          return fail('too-many-bytes-held');
        }
      }
    } catch {
      // The stream only fails together with the caller's connection.
      return fail('caller-gone');
    }
  }

  #startTimer({ deadlineAt }: BodyLimits): { timedOut: Promise<BodyTimeout>; cancel: () => void } {
    let cancelTimer = (): void => undefined;
    let unsubscribe = (): void => undefined;
    const timedOut = new Promise<BodyTimeout>((resolve) => {
      unsubscribe = this.shutdownWindow.onClose(() => {
        resolve('stopping');
      });
      if (Number.isFinite(deadlineAt)) {
        cancelTimer = this.clock.after(Math.max(0, deadlineAt - this.clock.now()), () => {
          resolve('too-late');
        });
      }
    });
    const cancel = (): void => {
      cancelTimer();
      unsubscribe();
    };
    return { timedOut, cancel };
  }
}
