import type { Clock } from '@ferrylock/utils';
import type { EntryEvent } from '../events.js';
import type { EventLoopDelay } from '../event-loop-delay.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { ViewExchange } from '../peers/view-exchange.js';
import type { RoutingState } from '../routing/routing-state.js';

type Knowledge = NonNullable<Extract<EntryEvent, { event: 'refused' }>['knowledge']>;

export interface ConfigurationKnowledgeOptions {
  readonly clock: Clock;
  readonly member: {
    readonly view: FleetView;
    readonly state: Pick<RoutingState, 'active'>;
    readonly viewExchange: Pick<
      ViewExchange,
      'calls' | 'failedCalls' | 'missing' | 'pendingMilliseconds'
    >;
  };
  readonly eventLoopDelay: Pick<EventLoopDelay, 'lastMilliseconds'>;
}

/**
 * What this host knows of the configuration. It tells a change that the host has not heard of from one
 * that it has not fetched, has not applied, or applied only after a request had come.
 */
export class ConfigurationKnowledge {
  readonly #options: ConfigurationKnowledgeOptions;
  readonly #startedAt: number;

  constructor(options: ConfigurationKnowledgeOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Describes it for a log line; undefined while no configuration is known. */
  describe(): Knowledge | undefined {
    const { clock, member, eventLoopDelay } = this.#options;
    const { view, state, viewExchange } = member;
    const { active } = state;
    if (active === undefined) {
      return undefined;
    }
    const { missing, pendingMilliseconds } = viewExchange;
    const held = view.records('configuration')[0]?.configuration.version;
    return {
      versionAgeMilliseconds: Math.round(clock.now() - active.activeSince),
      ...(held === undefined ? {} : { heldVersion: held }),
      revision: view.revision,
      confirmedBy: view.confirmation.source,
      peerCalls: viewExchange.calls,
      failedPeerCalls: viewExchange.failedCalls,
      ...(missing === undefined
        ? {}
        : {
            missingRevision: missing.revision,
            missingMilliseconds: Math.round(missing.milliseconds),
          }),
      ...(pendingMilliseconds === undefined
        ? {}
        : { pendingCallMilliseconds: Math.round(pendingMilliseconds) }),
      eventLoopDelayMilliseconds: Math.round(eventLoopDelay.lastMilliseconds),
      hostAgeMilliseconds: Math.round(clock.now() - this.#startedAt),
    };
  }
}
