import type { Socket } from 'node:net';
import type { Clock } from '@ferrylock/utils';

const INTERVAL_MILLISECONDS = 1_000;

/**
 * Finds clients that have reset their connections while these are not read: nothing but a write tells
 * so. A write of no bytes fails on such a connection, and sends nothing on any other.
 */
export class DisconnectProbe {
  readonly #clock: Pick<Clock, 'after'>;
  readonly #sockets = new Set<Socket>();
  #isScheduled = false;

  constructor(clock: Pick<Clock, 'after'>) {
    this.#clock = clock;
  }

  add(socket: Socket): void {
    this.#sockets.add(socket);
    if (!this.#isScheduled) {
      this.#isScheduled = true;
      this.#clock.after(INTERVAL_MILLISECONDS, () => {
        this.#isScheduled = false;
        this.#probe();
      });
    }
  }

  remove(socket: Socket): void {
    this.#sockets.delete(socket);
  }

  #probe(): void {
    for (const socket of [...this.#sockets]) {
      if (socket.writable) {
        socket.write('');
      }
      this.add(socket);
    }
  }
}
