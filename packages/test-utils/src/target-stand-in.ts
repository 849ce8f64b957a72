import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What a target stand-in does with a request. */
export type TargetBehaviour =
  | 'answer'
  | 'resetBeforeReading'
  | 'resetAfterReading'
  | 'cutAnswer'
  | 'hang'
  | 'shed'
  | 'unavailable'
  | 'undelimited';

export interface TargetStandInOptions {
  /** Requests that it can work on at a time. */
  readonly slots: number;
  /** Time that it works on each request, in milliseconds. */
  readonly serviceMilliseconds?: () => number;
  /** Size of its answers. */
  readonly answerBytes?: number;
}

/** A target that counts what it is given; nothing the system says of itself is taken on trust. */
export class TargetStandIn {
  behaviour: TargetBehaviour = 'answer';
  /** Requests of this path end it as soon as it begins to run one. */
  endsAtPath: string | undefined;
  /** Time until it listens again on its old port. */
  backAfterMilliseconds = Infinity;
  /** How often such a request ended it. */
  ends = 0;
  /** Whether its answers and probes say that it is about to stop. */
  leaving = false;
  reportedLoad: number | undefined;
  /** What it says with each request that it sheds: seconds in which it wants no more. */
  rest: string | undefined;
  /** Requests a second that its answers name, from all daemons together. */
  limit: string | undefined;
  /** Probes that arrived, and how long each waits for its answer, which tells of the moment of its arrival. */
  probes = 0;
  probeMilliseconds = 0;
  /** Requests that arrived, whatever was done with them, apart from probes. */
  timesMet = 0;
  /** When each of these arrived, as `performance.now()` gives it. */
  readonly arrivedAt: number[] = [];
  /** Requests begun, apart from probes. */
  requests = 0;
  /** Most requests at a time. */
  mostInFlight = 0;
  /** Connections open at a time, at most. */
  mostConnections = 0;
  /** Requests whose caller went away before the answer. */
  cancelled = 0;
  /** Runs of each idempotency key. */
  readonly runsByKey = new Map<string, number>();
  /** Bytes of each body that arrived whole. */
  readonly wholeBodies: number[] = [];
  /** When the last request began, as `performance.now()` gives it. */
  lastRequestAt = 0;
  readonly #options: TargetStandInOptions;
  readonly #answer: Buffer;
  readonly #server: Server;
  #inFlight = 0;
  #connections = 0;
  #comeBack: NodeJS.Timeout | undefined;

  constructor(options: TargetStandInOptions) {
    this.#options = options;
    this.#answer = Buffer.alloc(options.answerBytes ?? 64, 'a');
    this.#server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      void this.#handle(request, response);
    });
    this.#server.on('connection', (socket) => {
      this.#connections++;
      this.mostConnections = Math.max(this.mostConnections, this.#connections);
      socket.on('close', () => this.#connections--);
    });
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get connections(): number {
    return this.#connections;
  }

  /** Most runs of any one key. */
  get mostRunsOfOneKey(): number {
    return Math.max(0, ...this.runsByKey.values());
  }

  /** Listens on a free port, or on the one it had before, and returns it. */
  async start(port = 0, address = '127.0.0.1'): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(port, address, resolve));
    return (this.#server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    clearTimeout(this.#comeBack);
    if (!this.#server.listening) {
      return;
    }
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.leaving) {
      response.setHeader('ferrylock-leaving', '1');
    }
    if (this.limit !== undefined) {
      response.setHeader('ferrylock-limit', this.limit);
    }
    if (request.url === '/health') {
      this.probes++;
      await new Promise((resolve) => setTimeout(resolve, this.probeMilliseconds));
      response.writeHead(this.behaviour === 'unavailable' ? 503 : 200).end();
      return;
    }
    this.timesMet++;
    this.arrivedAt.push(performance.now());
    if (this.behaviour === 'resetBeforeReading') {
      request.socket.destroy();
      return;
    }
    if (this.behaviour === 'shed') {
      request.resume();
      const rest = this.rest === undefined ? {} : { 'retry-after': this.rest };
      response
        .writeHead(503, {
          'ferrylock-shed': 'not-run',
          'ferrylock-request-id': request.headers['ferrylock-request-id'] ?? '',
          'content-length': '0',
          ...rest,
        })
        .end();
      return;
    }
    this.#begin(request);
    if (request.url === this.endsAtPath) {
      this.#end();
    }
    try {
      const bytes = await countBody(request);
      this.wholeBodies.push(bytes);
      await this.#work(request, response);
    } catch {
      this.cancelled++;
    } finally {
      this.#inFlight--;
    }
  }

  /** Ends as a process that crashes: at once, with all its connections, and nobody listens any more. */
  #end(): void {
    this.ends++;
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    this.#server.closeAllConnections();
    if (Number.isFinite(this.backAfterMilliseconds)) {
      this.#comeBack = setTimeout(() => void this.start(port), this.backAfterMilliseconds);
    }
  }

  #begin(request: IncomingMessage): void {
    this.requests++;
    this.lastRequestAt = performance.now();
    this.#inFlight++;
    this.mostInFlight = Math.max(this.mostInFlight, this.#inFlight);
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') {
      this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
    }
  }

  async #work(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const milliseconds = this.#options.serviceMilliseconds?.() ?? 0;
    if (milliseconds > 0) {
      await new Promise((resolve) => setTimeout(resolve, milliseconds));
    }
    if (response.destroyed) {
      throw new Error('the caller went away');
    }
    if (this.reportedLoad !== undefined) {
      const report = JSON.stringify({ application_utilization: this.reportedLoad });
      response.setHeader('endpoint-load-metrics', `JSON ${report}`);
    }
    await this.#respond(request, response);
  }

  async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { length } = this.#answer;
    switch (this.behaviour) {
      case 'resetAfterReading':
        request.socket.destroy();
        return;
      case 'hang':
        await new Promise((resolve) => response.on('close', resolve));
        throw new Error('the caller went away');
      case 'unavailable':
        response.writeHead(500, { 'content-length': '0' }).end();
        return;
      case 'cutAnswer':
        response.writeHead(200, { 'content-length': String(length) });
        response.write(this.#answer.subarray(0, Math.floor(length / 2)), () => {
          request.socket.destroy();
        });
        return;
      case 'undelimited':
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, { connection: 'close' });
        response.end(this.#answer);
        return;
      default:
        response.writeHead(200, { 'content-length': String(length) }).end(this.#answer);
    }
  }
}

async function countBody(request: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length;
  }
  return bytes;
}
