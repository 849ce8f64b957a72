import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { CallerOutcome, CallerRequest } from './caller.js';
import { Caller } from './caller.js';
import type { Deployment } from './deployment.js';

const CALLERS_PER_DOMAIN = 2;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const WARM_UP_MILLISECONDS = 2_000;

/** How often a service is called, and with how large a body. */
export interface ServiceLoad {
  readonly service: string;
  readonly requestsPerSecond: number;
  readonly bodyBytes: number;
}

/** What the callers of one service saw. */
export interface ServiceTally {
  readonly account: string;
  readonly service: string;
  readonly class: string;
  readonly outcomes: Map<CallerOutcome, number>;
  requests: number;
  /** Of the requests after the first seconds, in which the code is still being compiled. */
  readonly latency: Histogram;
}

/** Callers of one deployment who send requests at random times until they are told to end. */
export class Traffic {
  readonly tallies: ServiceTally[] = [];
  readonly #callers: Caller[] = [];
  readonly #loops: Promise<void>[] = [];
  readonly #open = new Set<Promise<void>>();
  #ending = false;
  #startedAt = 0;

  constructor(
    readonly deployment: Deployment,
    readonly loads: readonly ServiceLoad[],
  ) {
    const domains = deployment.size.regions.length * deployment.size.domainsPerRegion;
    for (let domain = 1; domain <= domains; domain++) {
      for (let index = 1; index <= CALLERS_PER_DOMAIN; index++) {
        this.#callers.push(new Caller(`10.${domain}.0.${index}`, () => deployment.entryAddresses));
      }
    }
  }

  start(): void {
    this.#startedAt = performance.now();
    for (const load of this.loads) {
      const declared = this.deployment.size.services.find(({ name }) => name === load.service);
      const tally: ServiceTally = {
        account: this.deployment.account,
        service: load.service,
        class: declared?.repeat ?? '',
        outcomes: new Map(),
        requests: 0,
        latency: build({ numberOfSignificantValueDigits: 2 }),
      };
      this.tallies.push(tally);
      this.#loops.push(this.#run(load, tally));
    }
  }

  /** Sends nothing more and waits until every request has its outcome. */
  async end(): Promise<void> {
    this.#ending = true;
    await Promise.all(this.#loops);
    await Promise.all(this.#open);
    await Promise.all(this.#callers.map((caller) => caller.close()));
  }

  async #run(load: ServiceLoad, tally: ServiceTally): Promise<void> {
    const request: CallerRequest = {
      account: tally.account,
      service: load.service,
      method: load.bodyBytes > 0 ? 'POST' : 'GET',
      needsKey: tally.class === 'never',
      ...(load.bodyBytes > 0 ? { body: Buffer.alloc(load.bodyBytes, 'b') } : {}),
    };
    while (!this.#ending) {
      const gap = (-Math.log(1 - Math.random()) * 1_000) / load.requestsPerSecond;
      await new Promise((resolve) => setTimeout(resolve, gap));
      const sent = this.#send(request, tally);
      this.#open.add(sent);
      void sent.finally(() => this.#open.delete(sent));
    }
  }

  async #send(request: CallerRequest, tally: ServiceTally): Promise<void> {
    const caller = this.#callers[Math.floor(Math.random() * this.#callers.length)];
    const startedAt = performance.now();
    const outcome = (await caller?.send(request)) ?? 'cut';
    const microseconds = (performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND;
    if (startedAt - this.#startedAt >= WARM_UP_MILLISECONDS) {
      tally.latency.recordValue(Math.round(microseconds));
    }
    tally.requests++;
    tally.outcomes.set(outcome, (tally.outcomes.get(outcome) ?? 0) + 1);
  }
}
