import type { Clock } from '@ferrylock/utils';
import type { FleetView } from '../fleet/fleet-view.js';
import type { RequestRates } from '../peers/host-status.js';
import type { PeerTable } from '../peers/peer-table.js';
import { RegionDemand, demandByRegion } from './region-demand.js';
import type { RoutingState } from './routing-state.js';

/** Interval between two updates of the placement. */
const PERIOD_MILLISECONDS = 400;
/** Interval at a host without demand. */
const IDLE_PERIOD_MILLISECONDS = 2_000;

export interface PlacementControllerOptions {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly peers: PeerTable;
  readonly state: RoutingState;
  readonly ownName: string;
  readonly ownRegion: string;
  /** Called with the demand of this host's callers, and of all. */
  readonly onDemand: (own: RequestRates, fleet: RegionDemand) => void;
}

/** Updates the placement of keys from the demand of each region's callers. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  #updatedAt = -Infinity;

  constructor(options: PlacementControllerOptions) {
    this.#options = options;
  }

  /** Demand of this host's callers. */
  get ownDemand(): RequestRates {
    const services = [...this.#options.state.services];
    const rates = services.map(({ name, requestRate }) => [name, requestRate.perSecond] as const);
    return Object.fromEntries(rates.filter(([, rate]) => rate > 0));
  }

  /** Updates the placement if it is due; call a few times per second. */
  sweep(): void {
    const { clock, state, onDemand } = this.#options;
    const now = clock.now();
    const { ownDemand } = this;
    const isIdle = Object.keys(ownDemand).length === 0;
    if (now - this.#updatedAt < (isIdle ? IDLE_PERIOD_MILLISECONDS : PERIOD_MILLISECONDS)) {
      return;
    }
    this.#updatedAt = now;
    const demand = this.#demand(ownDemand);
    state.updatePlacement((service, region) => demand.of(service, region));
    onDemand(ownDemand, demand);
  }

  /** Demand by region: as reported by relays, else summed over the reports of hosts. */
  #demand(ownDemand: RequestRates): RegionDemand {
    const { view, peers, ownName, ownRegion } = this.#options;
    const { regionDemand: reportedDemand } = peers;
    if (reportedDemand !== undefined) {
      const demand = new RegionDemand();
      for (const [region, rates] of reportedDemand) {
        demand.add(region, rates);
      }
      return demand;
    }
    const regionOf = new Map(view.records('entryHost').map(({ host }) => [host.name, host.region]));
    regionOf.set(ownName, ownRegion);
    return demandByRegion([{ name: ownName, asked: ownDemand }, ...peers.alive], regionOf);
  }
}
