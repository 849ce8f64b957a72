import { Agent } from 'undici';
import type { Dispatcher } from 'undici';

const KEYS_PER_FETCH = 20;
const MOST_TRIES = 4;
const RETRY_MILLISECONDS = 50;

/** What became of one request, as its caller sees it. */
export type CallerOutcome = 'answered' | 'refused not run' | 'unknown' | 'cut';

/** A request that a caller wants answered. */
export interface CallerRequest {
  readonly account: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly body?: Buffer;
  readonly needsKey: boolean;
}

interface CachedLookup {
  readonly hosts: readonly string[];
  readonly until: number;
}

interface HeldKey {
  readonly key: string;
  readonly entryHost: string;
}

/** A caller that behaves as docs/callers.md asks: it looks up, caches, and repeats what did not run. */
export class Caller {
  readonly #agent = new Agent({ keepAliveTimeout: 4_000 });
  readonly #lookups = new Map<string, CachedLookup>();
  readonly #keys = new Map<string, HeldKey[]>();

  constructor(
    /** The address that look-ups are made for. */
    readonly clientAddress: string,
    readonly bootstrap: () => readonly string[],
  ) {}

  /** Sends a request until it is answered, may have run, or was refused too often. */
  async send(request: CallerRequest): Promise<CallerOutcome> {
    let outcome: CallerOutcome = 'refused not run';
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const hosts = await this.#lookup(request.account, request.service);
      const host = hosts[tries % hosts.length];
      const key = request.needsKey ? await this.#takeKey(request, host) : undefined;
      if (host === undefined || (request.needsKey && key === undefined)) {
        this.#lookups.delete(request.service);
        continue;
      }
      outcome = await this.#sendOnce(request, key?.entryHost ?? host, key?.key);
      if (outcome !== 'refused not run') {
        return outcome;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MILLISECONDS));
    }
    return outcome;
  }

  async close(): Promise<void> {
    await this.#agent.close();
  }

  async #sendOnce(
    request: CallerRequest,
    host: string,
    key: string | undefined,
  ): Promise<CallerOutcome> {
    try {
      const response = await this.#agent.request({
        origin: `http://${host}`,
        method: request.method,
        path: `/s/${request.account}/${request.service}/work`,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        body: request.body ?? null,
      });
      return await readOutcome(response);
    } catch (error) {
      const refused = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
      if (refused) {
        this.#lookups.delete(request.service);
        return 'refused not run';
      }
      return 'cut';
    }
  }

  async #lookup(account: string, service: string): Promise<readonly string[]> {
    const known = this.#lookups.get(service);
    if (known !== undefined && known.until > performance.now()) {
      return known.hosts;
    }
    for (const entry of shuffle([...(known?.hosts ?? []), ...this.bootstrap()])) {
      const query = new URLSearchParams({ account, service, address: this.clientAddress });
      const answer = await this.#json(entry, 'GET', `/v1/lookup?${query.toString()}`);
      if (answer !== undefined) {
        const { entryHosts, lifetimeSeconds } = answer as {
          entryHosts: { address: string }[];
          lifetimeSeconds: number;
        };
        const hosts = entryHosts.map((host) => host.address);
        this.#lookups.set(service, { hosts, until: performance.now() + lifetimeSeconds * 1_000 });
        return hosts;
      }
    }
    return [];
  }

  /** A key that has not been used, together with the entry host that gave it out. */
  async #takeKey(request: CallerRequest, host: string | undefined): Promise<HeldKey | undefined> {
    const held = (this.#keys.get(request.service) ?? []).filter((key) => key.entryHost === host);
    if (held.length === 0 && host !== undefined) {
      const query = new URLSearchParams({
        account: request.account,
        service: request.service,
        count: String(KEYS_PER_FETCH),
      });
      const answer = await this.#json(host, 'POST', `/v1/keys?${query.toString()}`);
      const keys = (answer as { keys: string[] } | undefined)?.keys ?? [];
      held.push(...keys.map((key) => ({ key, entryHost: host })));
    }
    const taken = held.pop();
    this.#keys.set(request.service, held);
    return taken;
  }

  async #json(host: string, method: 'GET' | 'POST', path: string): Promise<unknown> {
    try {
      const response = await this.#agent.request({ origin: `http://${host}`, method, path });
      const body = await response.body.json();
      return response.statusCode === 200 ? body : undefined;
    } catch {
      return undefined;
    }
  }
}

async function readOutcome(response: Dispatcher.ResponseData): Promise<CallerOutcome> {
  const body = Buffer.from(await response.body.arrayBuffer());
  if (response.headers['content-type'] !== 'application/problem+json') {
    return 'answered';
  }
  const problem = JSON.parse(body.toString('utf8')) as { ran: string };
  return problem.ran === 'no' ? 'refused not run' : 'unknown';
}

function shuffle<T>(items: T[]): T[] {
  return items
    .map((item) => ({ item, order: Math.random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ item }) => item);
}
