import type { DividedLimit } from '@ferrylock/control';
import { RATE_UNITS } from '@ferrylock/control';
import type { ConfigurationDocument, Declaration } from '@ferrylock/schema';
import type { Place, RateAllotment } from '@ferrylock/steering';
import { ClientBlockTable, DistanceMap, LinkLimits, linkLimitKey } from '@ferrylock/steering';
import type { Clock } from '@ferrylock/utils';
import type { ServiceRuntimeOptions } from './service-runtime.js';
import { ServiceRuntime } from './service-runtime.js';

export interface AccountRuntimeOptions {
  readonly rates: RateAllotment;
  readonly service: Omit<ServiceRuntimeOptions, 'account' | 'service'>;
  readonly clock: Clock;
}

/** One client account as this daemon serves it. A change of configuration replaces its tables whole. */
export class AccountRuntime {
  readonly account: string;
  readonly services = new Map<string, ServiceRuntime>();
  readonly #options: AccountRuntimeOptions;
  #generation = 0;
  #distances = new DistanceMap({ failureDomains: {}, delays: {} });
  #links: LinkLimits | undefined;
  #blocks = new ClientBlockTable([]);
  #blockPlaces: readonly string[] = [];

  constructor(account: string, options: AccountRuntimeOptions) {
    this.account = account;
    this.#options = options;
  }

  get generation(): number {
    return this.#generation;
  }

  get distances(): DistanceMap {
    return this.#distances;
  }

  update(document: ConfigurationDocument): void {
    const { declaration, drains } = document;
    this.#generation = document.generation;
    this.#distances = new DistanceMap(declaration);
    this.#updateBlocks(declaration);
    const { rates, clock } = this.#options;
    this.#links = new LinkLimits(declaration, rates, clock, this.#links);
    const update = { declaration, drains, distances: this.#distances, links: this.#links };
    for (const service of Object.keys(declaration.services)) {
      const known = this.services.get(service);
      if (known === undefined) {
        const options = { ...this.#options.service, account: this.account, service };
        this.services.set(service, new ServiceRuntime(options, update));
      } else {
        known.update(update);
      }
    }
    for (const service of this.services.keys()) {
      if (!Object.hasOwn(declaration.services, service)) {
        this.services.delete(service);
        this.#options.service.slotLoans.remove(this.account, service);
      }
    }
  }

  /** The account's limits, to be divided between daemons. */
  static dividedLimits(
    declaration: Declaration,
    services: Iterable<ServiceRuntime>,
  ): DividedLimit[] {
    const limits: DividedLimit[] = [];
    for (const [name, link] of Object.entries(declaration.links)) {
      for (const unit of ['requests', 'bytes'] as const) {
        const key = linkLimitKey(declaration.account, name, unit);
        limits.push({ key, units: RATE_UNITS, place: link.from });
      }
    }
    for (const service of services) {
      limits.push(...service.dividedLimits());
    }
    return limits;
  }

  /** Client blocks that the account has declared. */
  get blockCount(): number {
    return this.#blockPlaces.length;
  }

  /** The client block that holds the address, as a number for caching, with its place. */
  findBlock(address: string): { block: number; place: Place | undefined } {
    const block = this.#blocks.find(address);
    const place = this.#blockPlaces[block];
    return { block, place: place === undefined ? undefined : this.#distances.placeOf(place) };
  }

  #updateBlocks(declaration: Declaration): void {
    const blocks = Object.values(declaration.clientBlocks);
    this.#blocks = new ClientBlockTable(blocks.map(({ cidr }, value) => ({ cidr, value })));
    this.#blockPlaces = blocks.map((block) => block.place);
  }
}
