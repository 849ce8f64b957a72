import type { IncomingMessage } from 'node:http';
import type { Clock } from '@ferrylock/utils';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Why a body could not be read whole. */
export type BodyFailure = 'too-large' | 'too-many-bytes-held' | 'too-late' | 'caller-gone';

/** What one body may take. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** When it must have come whole, in monotonic milliseconds; infinite where nothing bounds it. */
  readonly deadlineAt: number;
}

/** Reads bodies whole, so that they can be sent to a second target, within a bound on all of them. */
export class BodyReader {
  #heldBytes = 0;

  /** @param maxBufferedBytes - bytes of all bodies together */
  constructor(
    readonly clock: Clock,
    readonly maxBufferedBytes: number,
  ) {}

  /** The body, or undefined where the request has none. */
  async read(
    request: IncomingMessage,
    bounds: BodyLimits,
  ): Promise<Result<Buffer | undefined, BodyFailure>> {
    const declared = request.headers['content-length'];
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    if (!isChunked && (declared === undefined || declared === '0')) {
      return Ok(undefined);
    }
    if (Number(declared ?? 0) > bounds.maxBytes) {
      return Err('too-large');
    }
    const end = this.#endOf(bounds);
    try {
      return await this.#collect(request, bounds.maxBytes, end.reached);
    } finally {
      end.cancel();
    }
  }

  /** The body is no longer needed. */
  release(body: Buffer | undefined): void {
    this.#heldBytes -= body?.length ?? 0;
  }

  /** @param tooLate - resolves when the rest of the body is not waited for any longer */
  async #collect(
    request: IncomingMessage,
    mostBytes: number,
    tooLate: Promise<'too-late'>,
  ): Promise<Result<Buffer, BodyFailure>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const giveUp = (failure: BodyFailure): Err<BodyFailure> => {
      this.#heldBytes -= bytes;
      return Err(failure);
    };
    // The connection outlives a refusal: it still has to carry it.
    const source = request.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    try {
      for (;;) {
        const step = await Promise.race([source.next(), tooLate]);
        if (step === 'too-late') {
          return giveUp('too-late');
        }
        if (step.done === true) {
          return Ok(Buffer.concat(chunks));
        }
        bytes += step.value.length;
        this.#heldBytes += step.value.length;
        chunks.push(step.value);
        if (bytes > mostBytes) {
          return giveUp('too-large');
        }
        if (this.#heldBytes > this.maxBufferedBytes) {
          return giveUp('too-many-bytes-held');
        }
      }
    } catch {
      // The stream fails only when the caller's connection does; there is nobody left to answer.
      return giveUp('caller-gone');
    }
  }

  #endOf({ deadlineAt: endAt }: BodyLimits): { reached: Promise<'too-late'>; cancel: () => void } {
    let cancel = (): void => undefined;
    const reached = new Promise<'too-late'>((resolve) => {
      if (Number.isFinite(endAt)) {
        cancel = this.clock.after(Math.max(0, endAt - this.clock.now()), () => {
          resolve('too-late');
        });
      }
    });
    return { reached, cancel };
  }
}
