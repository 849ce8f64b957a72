import type { IncomingMessage } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Why a body could not be read whole. */
export type BodyFailure = 'too-large' | 'too-many-bytes-held' | 'caller-gone';

/** Reads bodies whole, so that they can be sent to a second target, within a bound on all of them. */
export class BodyReader {
  #heldBytes = 0;

  /** @param mostHeldBytes - bytes of all bodies together */
  constructor(readonly mostHeldBytes: number) {}

  /** The body, or undefined where the request has none. */
  async read(
    request: IncomingMessage,
    mostBytes: number,
  ): Promise<Result<Buffer | undefined, BodyFailure>> {
    const declared = request.headers['content-length'];
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    if (!isChunked && (declared === undefined || declared === '0')) {
      return Ok(undefined);
    }
    if (Number(declared ?? 0) > mostBytes) {
      return Err('too-large');
    }
    return await this.#collect(request, mostBytes);
  }

  /** The body is no longer needed. */
  release(body: Buffer | undefined): void {
    this.#heldBytes -= body?.length ?? 0;
  }

  async #collect(
    request: IncomingMessage,
    mostBytes: number,
  ): Promise<Result<Buffer, BodyFailure>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const giveUp = (failure: BodyFailure): Err<BodyFailure> => {
      this.#heldBytes -= bytes;
      return Err(failure);
    };
    try {
      // The connection outlives a refusal: it still has to carry it.
      const source = request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
      for await (const chunk of source) {
        bytes += chunk.length;
        this.#heldBytes += chunk.length;
        chunks.push(chunk);
        if (bytes > mostBytes) {
          return giveUp('too-large');
        }
        if (this.#heldBytes > this.mostHeldBytes) {
          return giveUp('too-many-bytes-held');
        }
      }
    } catch {
      // The stream fails only when the caller's connection does; there is nobody left to answer.
      return giveUp('caller-gone');
    }
    return Ok(Buffer.concat(chunks));
  }
}
