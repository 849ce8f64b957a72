import type { IncomingMessage } from 'node:http';
import type { Clock } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { ShutdownWindow } from '../shutdown-window.js';
import type { ByteBudget } from '../transfers/byte-budget.js';
import { BodyReading } from './body-reading.js';
import type { BodyFailure } from './body-reading.js';

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
    return new Promise((resolve) => {
      const reading = new BodyReading(request, { ...limits, budget: this.budget });
      const cancelTimer = this.#startTimer(limits, (timeout) => {
        reading.fail(timeout);
      });
      reading.onEnd = (result) => {
        cancelTimer();
        resolve(result);
      };
    });
  }

  /** Returns the memory of a body that is no longer needed to the budget. */
  release(body: Buffer | undefined): void {
    this.budget.release(body?.length ?? 0);
  }

  /**
   * Calls back when the deadline has passed, or this host can answer no more.
   *
   * @returns a function that cancels it
   */
  #startTimer({ deadlineAt }: BodyLimits, onTimeout: (timeout: BodyTimeout) => void): () => void {
    const unsubscribe = this.shutdownWindow.onClose(() => {
      onTimeout('stopping');
    });
    const cancelTimer = Number.isFinite(deadlineAt)
      ? this.clock.after(Math.max(0, deadlineAt - this.clock.now()), () => {
          onTimeout('too-late');
        })
      : undefined;
    return () => {
      cancelTimer?.();
      unsubscribe();
    };
  }
}
