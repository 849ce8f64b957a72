import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { encodeDatagram } from './datagram-codec.js';
import type { DatagramCounts } from './datagram-counts.js';
import type { DatagramTransport } from './datagram-transport.js';
import type { PeerPositions } from './peer-positions.js';

export interface DatagramSenderOptions {
  readonly view: FleetView;
  readonly transport: DatagramTransport;
  readonly positions: PeerPositions;
  readonly counts: DatagramCounts;
}

/** Sends one message to several hosts, with the changes that these lack. */
export class DatagramSender {
  readonly #options: DatagramSenderOptions;

  constructor(options: DatagramSenderOptions) {
    this.#options = options;
  }

  /** @param write - writes the message, given a position up to which no recipient needs changes */
  send(hosts: readonly EntryHostRecord[], write: (lowestPosition: StorePosition) => string): void {
    if (hosts.length === 0) {
      return;
    }
    const { view, transport, positions, counts } = this.#options;
    const names = hosts.map(({ name }) => name);
    const datagram = encodeDatagram(write(positions.lowest(names)));
    positions.recordSent(names, view.lastChange);
    for (const { reportAddress } of hosts) {
      counts.recordSend(datagram.length);
      transport.send(reportAddress, datagram, (reason) => {
        counts.recordFailure(reportAddress, datagram.length, reason);
      });
    }
  }
}
