import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ListedHost } from '@ferrylock/platform';

/** The platform's host list as a JSON document; it shows what it is told, however late. */
export class HostListStandIn {
  hosts: ListedHost[] = [];
  readonly #server: Server = createServer((_request, response) => {
    response
      .writeHead(200, { 'content-type': 'application/json' })
      .end(JSON.stringify({ hosts: this.hosts }));
  });

  /** Listens on a free port of the loopback address and returns the document's URL. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}/hosts.json`;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}
