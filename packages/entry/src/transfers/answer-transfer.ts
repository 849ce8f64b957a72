import type { ServerResponse } from 'node:http';
import type { Clock } from '@ferrylock/utils';
import type { ByteBudget } from './byte-budget.js';
import { ChunkQueue, SMALL_CHUNK_BYTES } from './chunk-queue.js';

/** Bytes that are kept before the first is passed on: up to these, another target may be tried. */
const KEPT_BYTES = 32 * 1024;
/** Bytes that one read of a connection to a target yields at most. */
const READ_BYTES = 64 * 1024;
/** Reads that wait in a connection that is paused: one put back, and one that follows it. */
const WAITING_BYTES = 2 * READ_BYTES;
/** What a transfer may hold at any time: kept bytes, a read beyond them, and those that wait. */
const RESERVED_BYTES = KEPT_BYTES + READ_BYTES + WAITING_BYTES;
/**
 * Time without a byte taken after which a caller's path counts as broken; far beyond the pauses
 * that a full receive window causes.
 */
const STALL_MILLISECONDS = 30_000;

/** Answer of a target that is being received. */
export interface AnswerSource {
  /** Stops reading, so that the target has to wait. */
  pause(): void;
  resume(): void;
}

/** How a transfer ended. */
export type TransferEnd = 'complete' | 'broken' | 'stalled' | 'caller-gone';

export interface AnswerTransferOptions {
  readonly clock: Clock;
  readonly budget: ByteBudget;
  readonly response: ServerResponse;
}

/**
 * Passes a large answer on to a caller as it comes. The first bytes are kept, so that a target that
 * breaks off early can be replaced. What a slow caller has not taken yet is held here only while
 * the budget allows, so that the target is rid of it; beyond that, the target has to wait. A caller
 * never gets an incomplete answer that looks complete.
 */
export class AnswerTransfer {
  /** Resolves when the caller has taken everything, or the transfer has failed. */
  readonly ended: Promise<TransferEnd>;
  readonly #options: AnswerTransferOptions;
  readonly #queue = new ChunkQueue();
  #source: AnswerSource | undefined;
  #writeHead: (() => void) | undefined;
  /** Bytes received that the caller has not taken. */
  #heldBytes = 0;
  /** Bytes that the budget is charged for this transfer. */
  #chargedBytes = 0;
  #isPassing = false;
  #isReceived = false;
  #isPaused = false;
  #isPumpDue = false;
  #wasPaused = false;
  #end: TransferEnd | undefined;
  #resolve: (end: TransferEnd) => void = () => undefined;
  #clearStallTimer: (() => void) | undefined;

  constructor(options: AnswerTransferOptions) {
    this.#options = options;
    this.ended = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    options.response.once('close', () => {
      this.#finish('caller-gone');
    });
  }

  /** Whether bytes were passed on, so that no other target can be tried. */
  get isPassing(): boolean {
    return this.#isPassing;
  }

  /** Whether the target had to wait for the caller. */
  get wasPaused(): boolean {
    return this.#wasPaused;
  }

  /** Reserves what the transfer may hold at any time; false if the budget does not allow it. */
  tryReserve(): boolean {
    if (!this.#options.budget.tryAcquire(RESERVED_BYTES)) {
      return false;
    }
    this.#chargedBytes = RESERVED_BYTES;
    return true;
  }

  /**
   * Begins to receive an answer.
   *
   * @param writeHead - writes the head of the answer to the caller
   */
  begin(source: AnswerSource, writeHead: () => void): void {
    this.#source = source;
    this.#writeHead = writeHead;
  }

  /** Takes the next bytes of the answer. */
  push(chunk: Buffer): void {
    if (this.#end !== undefined) {
      return;
    }
    // The budget was charged for this read before the target could send it.
    this.#heldBytes += chunk.length;
    this.#queue.push(chunk);
    if (!this.#isPassing && this.#heldBytes > KEPT_BYTES) {
      this.#isPassing = true;
      this.#writeHead?.();
    }
    if (this.#isPassing) {
      if (chunk.length < SMALL_CHUNK_BYTES) {
        this.#pumpSoon();
      } else {
        this.#pump();
      }
      this.#pauseUnlessRoom();
    }
  }

  /**
   * Records that the answer was received completely.
   *
   * @returns the whole answer if none of it was passed on
   */
  complete(): Buffer | undefined {
    this.#isReceived = true;
    if (this.#isPassing) {
      this.#charge();
      this.#pump();
      return undefined;
    }
    return this.#takeKept();
  }

  /** Records that the target broke off; an answer that was begun ends visibly incomplete. */
  breakOff(): void {
    if (this.#isPassing) {
      this.#finish('broken');
    } else {
      this.#takeKept();
    }
  }

  /** Ends a transfer of which nothing was passed on. */
  close(): void {
    if (!this.#isPassing) {
      this.#finish('complete');
    }
  }

  #takeKept(): Buffer {
    const kept = this.#queue.takeAll();
    this.#hold(-this.#heldBytes);
    return kept;
  }

  #hold(bytes: number): void {
    this.#heldBytes += bytes;
    this.#charge();
  }

  /** Charges the budget for what is held, and for what may still come. */
  #charge(): void {
    const { budget } = this.#options;
    const charged = this.#end === undefined ? this.#expectedBytes : 0;
    budget.acquire(charged - this.#chargedBytes);
    this.#chargedBytes = charged;
  }

  /** What is held, and what may still come before the target has to wait. */
  get #expectedBytes(): number {
    if (this.#isReceived) {
      return this.#heldBytes;
    }
    const nextRead = this.#isPaused ? 0 : READ_BYTES;
    return Math.max(RESERVED_BYTES, this.#heldBytes + nextRead + WAITING_BYTES);
  }

  /** Writes once the small chunks of one read have come, since each write costs a system call. */
  #pumpSoon(): void {
    if (this.#isPumpDue) {
      return;
    }
    this.#isPumpDue = true;
    setImmediate(() => {
      this.#isPumpDue = false;
      if (this.#end === undefined) {
        this.#pump();
      }
    });
  }

  /** Writes what the caller's connection takes. */
  #pump(): void {
    const { response } = this.#options;
    while (!this.#queue.isEmpty && !response.writableNeedDrain && this.#end === undefined) {
      const chunk = this.#queue.shift() ?? Buffer.alloc(0);
      response.write(chunk, () => {
        this.#recordTaken(chunk.length);
      });
    }
    if (this.#isReceived && this.#queue.isEmpty && !response.writableEnded) {
      response.end(() => {
        this.#finish('complete');
      });
    }
    this.#restartStallTimer();
  }

  #recordTaken(bytes: number): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#hold(-bytes);
    this.#pump();
    if (this.#isPaused && this.#heldBytes <= KEPT_BYTES) {
      this.#isPaused = false;
      this.#source?.resume();
    }
  }

  /**
   * Lets the target wait unless the budget has room for the next read, and this transfer holds no
   * more than is free for all others: every transfer gets a share, and the next one finds room.
   */
  #pauseUnlessRoom(): void {
    const { budget } = this.#options;
    if (this.#isPaused) {
      this.#charge();
      return;
    }
    const missing = this.#expectedBytes - this.#chargedBytes;
    const isFair = this.#heldBytes <= KEPT_BYTES + budget.freeBytes;
    if (missing <= 0 || (isFair && budget.tryAcquire(missing))) {
      this.#chargedBytes += Math.max(0, missing);
      return;
    }
    this.#isPaused = true;
    this.#wasPaused = true;
    this.#charge();
    this.#source?.pause();
  }

  #restartStallTimer(): void {
    this.#clearStallTimer?.();
    this.#clearStallTimer =
      this.#heldBytes === 0 || this.#end !== undefined
        ? undefined
        : this.#options.clock.after(STALL_MILLISECONDS, () => {
            this.#finish('stalled');
          });
  }

  #finish(end: TransferEnd): void {
    if (this.#end !== undefined) {
      return;
    }
    this.#end = end;
    this.#clearStallTimer?.();
    this.#queue.clear();
    this.#hold(-this.#heldBytes);
    if (end !== 'complete') {
      this.#options.response.destroy();
    }
    this.#resolve(end);
  }
}
