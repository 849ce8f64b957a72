import type { Clock } from '@ferrylock/utils';
import type { FleetView } from '../fleet/fleet-view.js';
import type { RequestRates } from '../peers/host-status.js';
import type { PeerTable } from '../peers/peer-table.js';
import { RegionDemand, demandByRegion } from './region-demand.js';
import type { RoutingState } from './routing-state.js';

/** Time between two looks at where keys are to be served; the parts move slowly anyway. */
const PERIOD_MILLISECONDS = 400;
/** The same at a host whose callers ask for nothing: it has nothing to place, and is to keep up. */
const QUIET_PERIOD_MILLISECONDS = 2_000;

export interface PlacementControllerOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly state: RoutingState;
  readonly ownName: string;
  readonly ownRegion: string;
}

/** Sees to it that keys are placed by what the callers of each region ask for. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  #placedAt = -Infinity;

  constructor(options: PlacementControllerOptions) {
    this.#options = options;
  }

  /** What this host's callers ask for. */
  get ownDemand(): RequestRates {
    const services = [...this.#options.state.services];
    const rates = services.map(({ name, requestRate: asked }) => [name, asked.perSecond] as const);
    return Object.fromEntries(rates.filter(([, rate]) => rate > 0));
  }

  /** To be called a few times a second. */
  sweep(): void {
    const { clock, state } = this.#options;
    const now = clock.now();
    const { ownDemand: asked } = this;
    const isQuiet = Object.keys(asked).length === 0;
    if (now - this.#placedAt < (isQuiet ? QUIET_PERIOD_MILLISECONDS : PERIOD_MILLISECONDS)) {
      return;
    }
    this.#placedAt = now;
    const demand = this.#demand(asked);
    state.place((service, region) => demand.of(service, region));
  }

  /** What callers of each region ask for: as relays tell it, or summed up from what hosts tell. */
  #demand(asked: RequestRates): RegionDemand {
    const { view, peers, ownName, ownRegion } = this.#options;
    const { regionDemand: toldDemand } = peers;
    if (toldDemand !== undefined) {
      const told = new RegionDemand();
      for (const [region, rates] of toldDemand) {
        told.add(region, rates);
      }
      return told;
    }
    const regionOf = new Map(view.records('entryHost').map(({ host }) => [host.name, host.region]));
    regionOf.set(ownName, ownRegion);
    return demandByRegion([{ name: ownName, asked }, ...peers.alive], regionOf);
  }
}
