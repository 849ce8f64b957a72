import { HostShare } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { RequestRates } from '../peers/host-status.js';
import type { RegionDemand } from './region-demand.js';
import type { RoutingState } from './routing-state.js';

export interface RetryShareControllerOptions {
  readonly clock: Clock;
  readonly state: Pick<RoutingState, 'services'>;
  readonly ownName: string;
  /** Registered hosts. */
  readonly hosts: () => readonly EntryHostRecord[];
  readonly isAlive: (host: EntryHostRecord) => boolean;
}

/** Gives the retry budget of each service this host's part of the fleet's slack. */
export class RetryShareController {
  readonly #options: RetryShareControllerOptions;
  readonly #share: HostShare;

  constructor(options: RetryShareControllerOptions) {
    this.#options = options;
    this.#share = new HostShare(options.clock);
  }

  /** @param count - registered hosts, this one included */
  recordHosts(count: number): void {
    this.#share.recordRegistered(count);
  }

  /**
   * @param own - requests per second of this host's callers
   * @param fleet - those of all callers, as reports tell
   */
  update(own: RequestRates, fleet: Pick<RegionDemand, 'total'>): void {
    const { state, ownName, hosts, isAlive } = this.#options;
    const others = hosts().filter((host) => host.name !== ownName && isAlive(host));
    const heardHosts = others.length + 1;
    for (const { name, retryBudget } of state.services) {
      const rates = { own: own[name] ?? 0, heard: fleet.total(name), heardHosts };
      retryBudget.slackShare = this.#share.of(rates);
    }
  }
}
