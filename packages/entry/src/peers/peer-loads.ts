import type { RoutingState } from '../routing/routing-state.js';
import type { Peer, PeerTable } from './peer-table.js';

/** Adds what peers report of their requests at targets to what is known of each target. */
export class PeerLoads {
  readonly #state: RoutingState;

  constructor(state: RoutingState, peers: PeerTable) {
    this.#state = state;
    peers.onReport((peer, before) => {
      this.#take(peer, before);
    });
  }

  /** This host's own requests, by target; those without any are left out. */
  ownInFlight(): Record<string, number> {
    const inFlight: Record<string, number> = {};
    for (const { targets } of this.#state.services) {
      for (const target of targets.values()) {
        if (target.inFlight > 0) {
          inFlight[target.id] = target.inFlight;
        }
      }
    }
    return inFlight;
  }

  #take(peer: Peer, before: Peer | undefined): void {
    for (const id of Object.keys(before?.report.inFlight ?? {})) {
      this.#target(id)?.othersInFlight.delete(peer.name);
    }
    for (const [id, count] of Object.entries(peer.report.inFlight)) {
      this.#target(id)?.othersInFlight.set(peer.name, count);
    }
  }

  #target(id: string) {
    return this.#state.serviceOfTarget(id)?.targets.get(id);
  }
}
