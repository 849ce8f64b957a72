import { MovingAverage } from '@ferrylock/utils';
import { maxLoadPerSlot } from './max-load-per-slot.js';
import { ProcessingTimes } from './processing-times.js';
import type { Route } from './route-configuration.js';

/** Weight of one response in the average processing time. */
const PROCESSING_WEIGHT = 0.02;

/** Average processing times of the targets of a service, for all routes together and by route. */
export class ServiceWorkTimes {
  readonly #all = new MovingAverage(PROCESSING_WEIGHT);
  readonly #byRoute = new Map<string, ProcessingTimes>();

  /** Average of all routes in milliseconds; undefined before the first response. */
  get milliseconds(): number | undefined {
    return this.#all.value;
  }

  of({ name }: Pick<Route, 'name'>): ProcessingTimes {
    const known = this.#byRoute.get(name) ?? new ProcessingTimes();
    this.#byRoute.set(name, known);
    return known;
  }

  /** @param wasCached - whether the target was expected to have the object cached */
  record(route: Pick<Route, 'name'>, milliseconds: number, wasCached: boolean): void {
    this.of(route).record(milliseconds, wasCached);
    this.#all.add(milliseconds);
  }

  /** Requests per slot up to which a target takes another request of a route. */
  maxLoadPerSlot(route: Route, lowestPriority: number): number {
    return maxLoadPerSlot({ route, processingMilliseconds: this.milliseconds, lowestPriority });
  }

  /**
   * Estimates how long a target at its maximum load takes to work off its backlog, in milliseconds.
   * Undefined before the first response.
   */
  backlogMilliseconds(route: Route, lowestPriority: number): number | undefined {
    const { milliseconds } = this;
    return milliseconds === undefined
      ? undefined
      : milliseconds * this.maxLoadPerSlot(route, lowestPriority);
  }
}
