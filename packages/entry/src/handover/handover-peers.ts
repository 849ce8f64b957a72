import type { Route } from '@ferrylock/routing';
import { shuffled } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';

/** Candidates of each region group among which the least loaded is selected. */
const CHOICES = 2;
/** Requests handed over per core beyond which a host of another region is preferred. */
const OTHER_REGION_REQUESTS_PER_CORE = 16;

export interface HandoverPeersOptions {
  readonly random: Random;
  readonly ownName: string;
  readonly ownRegion: string;
  readonly hosts: () => readonly EntryHostRecord[];
  /** Tells whether a host accepts callers and reaches targets. */
  readonly isServing: (host: EntryHostRecord) => boolean;
}

/** Selects the entry hosts that requests are handed over to, and counts what is in flight there. */
export class HandoverPeers {
  readonly #options: HandoverPeersOptions;
  readonly #inFlight = new Map<string, number>();

  constructor(options: HandoverPeersOptions) {
    this.#options = options;
  }

  /**
   * Selects a host for a request; undefined if there is none. A request with home regions goes to
   * hosts of these alone: the caller's region, where its body may also be, is not known.
   *
   * @param tried - names of hosts that did not take it
   */
  select(
    { homeRegions }: Pick<Route, 'homeRegions'>,
    tried: ReadonlySet<string>,
  ): EntryHostRecord | undefined {
    const { hosts, ownName, ownRegion, isServing } = this.#options;
    const allowed = hosts().filter(
      (host) =>
        host.name !== ownName &&
        !tried.has(host.name) &&
        (homeRegions.length === 0 || homeRegions.includes(host.region)) &&
        isServing(host),
    );
    const near = allowed.filter(({ region }) => region === ownRegion);
    const far = allowed.filter(({ region }) => region !== ownRegion);
    const candidates = [...this.#draw(near), ...this.#draw(far)];
    return candidates.sort((a, b) => this.#cost(a) - this.#cost(b))[0];
  }

  begin({ name }: EntryHostRecord): void {
    this.#inFlight.set(name, this.#inFlightAt(name) + 1);
  }

  end({ name }: EntryHostRecord): void {
    const others = this.#inFlightAt(name) - 1;
    if (others > 0) {
      this.#inFlight.set(name, others);
    } else {
      this.#inFlight.delete(name);
    }
  }

  #draw(hosts: readonly EntryHostRecord[]): EntryHostRecord[] {
    return shuffled(this.#options.random, hosts).slice(0, CHOICES);
  }

  #cost({ name, region, capacity }: EntryHostRecord): number {
    const isNear = region === this.#options.ownRegion;
    return this.#inFlightAt(name) / capacity + (isNear ? 0 : OTHER_REGION_REQUESTS_PER_CORE);
  }

  #inFlightAt(name: string): number {
    return this.#inFlight.get(name) ?? 0;
  }
}
