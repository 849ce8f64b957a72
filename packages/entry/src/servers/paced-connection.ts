import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { PooledConnection, PortConnections } from './connection-pool.js';
import type { DisconnectProbe } from './disconnect-probe.js';
import { PartSplitter } from './part-splitter.js';
import type { ReadPacer, WaitingReader } from './read-pacer.js';
import type { WaitingBytes, WaitingBytesHolder } from './waiting-bytes.js';

/** Requests of one connection that are worked on at a time; the next one is read after them. */
const MAX_OPEN_REQUESTS = 4;
/** Bytes of a connection's only request up to which it reads before others. */
const SHORT_REQUEST_BYTES = 16 * 1024;
/**
 * Bytes that wait for the parser up to which the connection is read on, so that a client is known to
 * have left; what most send ahead is less.
 */
const MAX_WAITING_BYTES = 16 * 1024;
/** Bytes that are read for nobody after the last answer, more than a client sends until it knows. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const NOTHING: Buffer = Buffer.alloc(0);

export interface PacedConnectionOptions {
  readonly pacer: ReadPacer;
  readonly probe: DisconnectProbe;
  readonly waitingBytes: WaitingBytes;
  /** Connections of the server that accepted it. */
  readonly port: PortConnections;
}

/**
 * Hands what a client sends to the HTTP parser of its connection: part by part, and no further
 * request while several of the connection are worked on. What it has sent beyond these is not read.
 * The parser by itself takes all requests of one read at once, whatever their number.
 */
export class PacedConnection implements WaitingReader, WaitingBytesHolder, PooledConnection {
  readonly #socket: Socket;
  readonly #pacer: ReadPacer;
  readonly #probe: DisconnectProbe;
  readonly #waitingBytes: WaitingBytes;
  readonly #port: PortConnections;
  readonly #push: (chunk: Buffer | null) => boolean;
  /** What was read and the parser has not got. */
  #waiting: Buffer = NOTHING;
  readonly #splitter = new PartSplitter();
  #openRequests = 0;
  /** The last request that the parser began to pass on. */
  #latest: IncomingMessage | undefined;
  /** Bytes of the latest request's body that are still to come; undefined unless it has told them. */
  #declaredBytes: number | undefined;
  /** Bytes that the parser got since it passed on the latest request. */
  #requestBytes = 0;
  #discardedBytes = 0;
  #isReading = false;
  #isStopped = false;

  /** @param socket - connection that an HTTP server has just accepted */
  constructor(socket: Socket, { pacer, probe, waitingBytes, port }: PacedConnectionOptions) {
    this.#socket = socket;
    this.#pacer = pacer;
    this.#probe = probe;
    this.#waitingBytes = waitingBytes;
    this.#port = port;
    this.#push = socket.push.bind(socket);
    socket.push = (chunk: Buffer | null): boolean => this.#receive(chunk);
    // The parser then takes its bytes from the events of the socket, not from the operating system.
    socket.on('data', () => undefined);
    socket.on('resume', this.#onResume);
    socket.once('close', () => {
      port.remove(this);
      probe.remove(socket);
      this.stop();
    });
    if (!port.tryAdd(this)) {
      socket.destroy();
    }
  }

  readonly #onResume = (): void => {
    this.#readOn();
  };

  get isUrgent(): boolean {
    const isFirst = this.#openRequests <= Number(this.#isInBody);
    return isFirst && this.#requestBytes <= SHORT_REQUEST_BYTES;
  }

  get isAwaitingBody(): boolean {
    return this.#isInBody && this.#openRequests === 1;
  }

  close(): void {
    this.#socket.destroy();
  }

  giveUp(): void {
    this.#port.recordClosed('sent-ahead');
    this.stop();
    this.#socket.destroy();
  }

  /** Counts a request until its answer has been taken, or its connection is closed. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#latest = request;
    this.#requestBytes = 0;
    const { 'content-length': length, 'transfer-encoding': coding } = request.headers;
    this.#declaredBytes = length === undefined ? undefined : Number(length);
    this.#openRequests++;
    this.#port.setBusy(this);
    if (length !== undefined || coding !== undefined) {
      request.on('resume', this.#onResume);
    }
    response.once('close', () => {
      this.#openRequests--;
      if (this.#openRequests === 0) {
        this.#port.setIdle(this);
      }
      if (!request.complete && !this.#socket.destroyed) {
        // Nobody waits for the rest of a body that was answered without.
        this.#port.recordClosed('unwanted-body');
        this.#socket.destroySoon();
      }
      this.#readOn();
    });
  }

  /**
   * Closes the connection if it has rested for the time-out of its server, or if its client has taken
   * nothing of an answer for that long; else a request of it is still worked on.
   */
  endPause(): void {
    const isStalled = this.#socket.writableLength > 0;
    if (isStalled) {
      this.#port.recordClosed('stalled');
    }
    if (isStalled || this.#openRequests === 0) {
      this.#socket.destroy();
    }
  }

  /** Hands nothing more to the parser, which has failed, and reads what still comes for nobody. */
  discardRest(): void {
    this.stop();
    if (!this.#socket.destroyed) {
      this.#push(NOTHING);
    }
  }

  /** Hands nothing more to the parser. */
  stop(): void {
    this.#isStopped = true;
    this.#keepWaiting(NOTHING);
    this.#pacer.remove(this);
  }

  readPart(): boolean {
    if (!this.#mayRead) {
      return false;
    }
    this.#isReading = true;
    const part = this.#waiting.subarray(0, this.#partLength(this.#waiting));
    this.#keepWaiting(this.#waiting.subarray(part.length));
    this.#count(part);
    this.#socket.emit('data', part);
    this.#isReading = false;
    if (this.#waiting.length === 0 && !this.#isStopped) {
      this.#probe.remove(this.#socket);
      // Ends the read that these bytes came from, so that the next one begins.
      this.#push(NOTHING);
    }
    return this.#mayRead;
  }

  #receive(chunk: Buffer | null): boolean {
    if (chunk === null) {
      // Whoever has closed the connection gets no answers to what waits.
      this.#keepWaiting(NOTHING);
      this.#pacer.remove(this);
      return this.#push(null);
    }
    const isReadOn = this.#keep(chunk);
    if (!isReadOn) {
      this.#probe.add(this.#socket);
    }
    return isReadOn;
  }

  /** @returns false if no more is to be read for the time being */
  #keep(chunk: Buffer): boolean {
    if (this.#isStopped) {
      return this.#discard(chunk);
    }
    if (this.#waiting.length === 0 && this.#isOnePart(chunk)) {
      this.#count(chunk);
      return this.#push(chunk);
    }
    this.#keepWaiting(this.#waiting.length === 0 ? chunk : Buffer.concat([this.#waiting, chunk]));
    this.#readOn();
    return this.#waiting.length < MAX_WAITING_BYTES;
  }

  /**
   * Reads on after the last answer, which a close with unread bytes could take from the client, but not
   * without end.
   */
  #discard(chunk: Buffer): boolean {
    this.#discardedBytes += chunk.length;
    if (this.#discardedBytes <= MAX_DISCARDED_BYTES) {
      return true;
    }
    if (this.#socket.writableFinished) {
      this.#socket.destroy();
    } else {
      this.#socket.once('finish', () => this.#socket.destroy());
    }
    return false;
  }

  #keepWaiting(bytes: Buffer): void {
    this.#waiting = bytes.length === 0 ? NOTHING : bytes;
    this.#waitingBytes.set(this, bytes.length);
  }

  /** Whether a chunk can be handed on at once: the next request of an idle connection, as a rule. */
  #isOnePart(chunk: Buffer): boolean {
    const isFree =
      this.#openRequests === 0 || (this.#isInBody && this.#declaredBytes !== undefined);
    const isPart = this.#mayTake && this.#partLength(chunk) === chunk.length;
    return isPart && (isFree || this.#pacer.tryTake());
  }

  /** Hands on what may be, as far as this turn of the event loop has time for it. */
  #readOn(): void {
    while (this.#mayRead) {
      if (!this.#pacer.tryTake()) {
        this.#pacer.add(this);
        return;
      }
      this.readPart();
    }
  }

  get #mayRead(): boolean {
    return this.#waiting.length > 0 && !this.#isReading && this.#mayTake;
  }

  get #mayTake(): boolean {
    const isOpen = !this.#isStopped && !this.#socket.destroyed && !this.#socket.writableEnded;
    const isTaking = isOpen && !this.#socket.isPaused();
    return (
      isTaking && (this.#isInBody ? this.#isBodyTaken : this.#openRequests < MAX_OPEN_REQUESTS)
    );
  }

  /** Whether what was read of the body has been taken: it is read by events, or has not come yet. */
  get #isBodyTaken(): boolean {
    return this.#latest?.readableFlowing === true || this.#latest?.readableLength === 0;
  }

  get #isInBody(): boolean {
    return this.#latest?.complete === false;
  }

  /** Length of the next part; what has come of a body of known length is one. */
  #partLength(bytes: Buffer): number {
    return this.#isInBody && this.#declaredBytes !== undefined
      ? Math.min(bytes.length, Math.max(1, this.#declaredBytes))
      : this.#splitter.lengthOf(bytes);
  }

  #count(part: Buffer): void {
    this.#splitter.record(part);
    this.#requestBytes += part.length;
    if (this.#isInBody && this.#declaredBytes !== undefined) {
      this.#declaredBytes -= part.length;
    }
  }
}
