import type { Clock } from '@ferrylock/utils';

const MILLISECONDS_PER_SECOND = 1_000;

/** One direction of a host's link: what is sent waits until everything before it has passed. */
export class EmulatedLink {
  #freeAt = -Infinity;

  /** @param bytesPerSecond - infinite for a link that delays nothing */
  constructor(
    readonly clock: Clock,
    readonly bytesPerSecond: number,
  ) {}

  /** Takes bytes and returns the milliseconds until the last of them has passed. */
  pass(bytes: number): number {
    const now = this.clock.now();
    this.#freeAt = Math.max(now, this.#freeAt) + this.millisecondsOf(bytes);
    return this.#freeAt - now;
  }

  /** Time that bytes take on a link that carries nothing else. */
  millisecondsOf(bytes: number): number {
    return (bytes / this.bytesPerSecond) * MILLISECONDS_PER_SECOND;
  }
}
