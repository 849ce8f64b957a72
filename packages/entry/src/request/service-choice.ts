import type { ServiceTargets } from '@ferrylock/routing';
import { TrafficSplitter } from '@ferrylock/routing';
import type { RoutingState } from '../routing/routing-state.js';
import type { RoutedExchange } from './caller-exchange.js';
import { affinityKeyOf } from './caller-exchange.js';
import type { SplitMetrics } from './split-metrics.js';

export interface ServiceChoiceOptions {
  readonly ownName: string;
  readonly state: Pick<RoutingState, 'service' | 'onConfiguration'>;
  readonly metrics: { readonly splits: SplitMetrics };
}

/** Chooses the services of requests, by the weights of their routes. */
export class ServiceChoice {
  readonly #options: ServiceChoiceOptions;
  readonly #splitter: TrafficSplitter;

  constructor(options: ServiceChoiceOptions) {
    this.#options = options;
    const splitter = new TrafficSplitter({ hostName: options.ownName });
    this.#splitter = splitter;
    options.state.onConfiguration(({ routes }) => {
      splitter.retain(routes);
      options.metrics.splits.retain(routes);
    });
  }

  /** Returns undefined if no target of the service is known. */
  choose(exchange: RoutedExchange): ServiceTargets | undefined {
    const { state, metrics } = this.#options;
    const { route, handover } = exchange;
    const name = this.#splitter.pick(route, affinityKeyOf(exchange), handover?.service);
    if (route.shares.length > 1 && handover === undefined) {
      metrics.splits.record(route.name, name);
    }
    return state.service(name);
  }
}
