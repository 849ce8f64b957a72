import type { IncomingMessage } from 'node:http';
import { Readable } from 'node:stream';
import type { NotRun } from '@ferrylock/steering';
import { notRun } from '@ferrylock/steering';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** Lets bytes pass towards a target when the caps of the links on the way have room. */
export type PaceBytes = (bytes: number) => Promise<void>;

export interface RequestBodyOptions {
  /** Largest body that is held whole. */
  readonly smallBytes: number;
  /** Largest body that is taken at all. */
  readonly maximumBytes: number;
}

/** A stream grew over its bound after part of it had been sent on. */
export class BodyTooLarge extends Error {}

/**
 * A request's body. A small one is held whole and can be sent again; a large one is passed on as it
 * comes, once.
 */
export class RequestBody {
  /** Whether the target has been given the whole of it. */
  sentWhole = false;
  #streamTaken = false;

  private constructor(
    readonly request: IncomingMessage,
    readonly held: Buffer | null,
    readonly isStream: boolean,
    readonly maximumBytes: number,
  ) {}

  /** The body of a request that has none; undefined where there is one to be read. */
  static without(request: IncomingMessage): Ok<RequestBody> | undefined {
    const length = request.headers['content-length'];
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    const isEmpty = !isChunked && (length === undefined || length === '0');
    return isEmpty ? Ok(new RequestBody(request, null, false, 0)) : undefined;
  }

  /** Reads a small body whole; of a large one nothing is read yet. */
  static async read(
    request: IncomingMessage,
    options: RequestBodyOptions,
  ): Promise<Result<RequestBody, NotRun>> {
    const declaredLength = request.headers['content-length'];
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    const length = declaredLength === undefined ? 0 : Number(declaredLength);
    if (length > options.maximumBytes) {
      return Err(notRun('too-large', `the body is over ${options.maximumBytes} bytes`));
    }
    if (isChunked || length > options.smallBytes) {
      return Ok(new RequestBody(request, null, true, options.maximumBytes));
    }
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of request) {
        chunks.push(chunk as Buffer);
      }
    } catch {
      return Err(notRun('caller-gone', 'the caller went away before its request was whole'));
    }
    return Ok(new RequestBody(request, Buffer.concat(chunks), false, options.maximumBytes));
  }

  /** Whether it can still be given to a target from its first byte. */
  get canBeSent(): boolean {
    return !this.#streamTaken;
  }

  /** The body for one try. A stream starts to be read only when the target's connection stands. */
  forAttempt(pace: PaceBytes | undefined): Buffer | Readable | null {
    if (!this.isStream) {
      this.sentWhole = true;
      return this.held;
    }
    return Readable.from(this.#chunks(pace), { objectMode: false });
  }

  async *#chunks(pace: PaceBytes | undefined): AsyncGenerator<Buffer> {
    this.#streamTaken = true;
    let total = 0;
    // The caller's connection outlives a failed try: it still has to carry the refusal.
    const source = this.request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>;
    for await (const chunk of source) {
      total += chunk.length;
      if (total > this.maximumBytes) {
        throw new BodyTooLarge(`the body is over ${this.maximumBytes} bytes`);
      }
      await pace?.(chunk.length);
      yield chunk;
    }
    this.sentWhole = true;
  }
}
