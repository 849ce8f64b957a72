import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { EventLog } from '../event-log.js';
import { splitAddress } from '../address.js';
import type { DatagramTransport } from './datagram-transport.js';

/** UDP transport. */
export class UdpTransport implements DatagramTransport {
  readonly #socket: Socket;

  constructor(
    readonly events: EventLog,
    onMessage: (datagram: Buffer) => void,
  ) {
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (bytes) => {
      onMessage(bytes);
    });
    this.#socket.on('error', (error) => {
      events.logger.warn('datagram socket failed', { error: String(error) });
    });
  }

  async listen(address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve) => {
      this.#socket.bind(port, host, resolve);
    });
    return `${host}:${this.#socket.address().port}`;
  }

  send(address: string, datagram: Buffer, onFailure: (reason: string) => void): void {
    const { host, port } = splitAddress(address);
    try {
      this.#socket.send(datagram, port, host, (error) => {
        if (error !== null) {
          onFailure(String(error));
        }
      });
    } catch (error) {
      // One recipient that cannot be sent to must not keep the others from being sent to.
      onFailure(String(error));
    }
  }

  close(): void {
    this.#socket.close();
  }
}
