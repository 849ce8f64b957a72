import type { Clock } from '@ferrylock/utils';
import type { FleetView } from '../fleet/fleet-view.js';
import type { RequestRates } from '../peers/host-status.js';
import type { PeerTable } from '../peers/peer-table.js';
import { sumDemand } from './region-demand.js';
import type { RoutingState } from './routing-state.js';

/** Time between two looks at where keys are to be served; the parts move slowly anyway. */
const PERIOD_MILLISECONDS = 400;

export interface PlacementDutyOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly state: RoutingState;
  readonly ownName: string;
  readonly ownRegion: string;
}

/** Sees to it that keys are placed by what the callers of each region ask for. */
export class PlacementDuty {
  readonly #options: PlacementDutyOptions;
  #placedAt = -Infinity;

  constructor(options: PlacementDutyOptions) {
    this.#options = options;
  }

  /** What this host's callers ask for. */
  get asked(): RequestRates {
    const services = [...this.#options.state.services];
    const rates = services.map(({ name, asked }) => [name, asked.perSecond] as const);
    return Object.fromEntries(rates.filter(([, rate]) => rate > 0));
  }

  /** To be called a few times a second. */
  sweep(): void {
    const { clock, view, peers, state, ownName, ownRegion } = this.#options;
    const now = clock.now();
    if (now - this.#placedAt < PERIOD_MILLISECONDS) {
      return;
    }
    this.#placedAt = now;
    const regionOf = new Map(view.records('entryHost').map(({ host }) => [host.name, host.region]));
    regionOf.set(ownName, ownRegion);
    const own = { name: ownName, asked: this.asked };
    const demand = sumDemand([own, ...peers.alive], regionOf);
    state.place((service, region) => demand.of(service, region));
  }
}
