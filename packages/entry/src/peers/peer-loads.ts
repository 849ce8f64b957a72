import type { TargetState } from '@ferrylock/routing';
import type { Clock } from '@ferrylock/utils';
import type { RoutingState } from '../routing/routing-state.js';
import { addCounts, subtractCounts } from './counts.js';
import type { InFlightCounts } from './in-flight.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';

/** Fraction of its slots in use from which a target's load affects routing. */
const BUSY_SHARE = 0.4;
/** Number of own reports kept, to subtract them from fleet totals that include them. */
const MAX_KEPT_REPORTS = 16;

/** Last report of one source. */
interface SourceLoads {
  readonly inFlight: InFlightCounts;
  readonly updatedAt: number;
}

/**
 * Requests of other entry hosts in flight at targets. A source is a host, another failure domain,
 * or the fleet; its latest report replaces the one before.
 */
export class PeerLoads {
  readonly #clock: Clock;
  readonly #state: RoutingState;
  readonly #isHeard: (target: TargetState) => boolean;
  readonly #sources = new Map<string, SourceLoads>();
  /** This host's last reports, by sequence number. */
  readonly #reported = new Map<number, InFlightCounts>();

  /** @param isHeard - tells whether requests in flight at a target are expected to be there */
  constructor(clock: Clock, state: RoutingState, isHeard: (target: TargetState) => boolean) {
    this.#clock = clock;
    this.#state = state;
    this.#isHeard = isHeard;
  }

  /** Returns this host's own requests in flight at targets that it reaches, and keeps them under a report's sequence number. */
  recordReport(sequence: number): InFlightCounts {
    const inFlight: Record<string, number> = {};
    for (const { targets } of this.#state.services) {
      for (const target of targets.values()) {
        if (target.inFlight > 0 && this.#isHeard(target)) {
          inFlight[target.incarnationId] = target.inFlight;
        }
      }
    }
    this.#reported.set(sequence, inFlight);
    this.#reported.delete(sequence - MAX_KEPT_REPORTS);
    return inFlight;
  }

  /** Sums the reports of the selected sources and `more`. */
  sum(isIncluded: (source: string) => boolean, more: InFlightCounts): InFlightCounts {
    const total: Record<string, number> = { ...more };
    for (const [source, { inFlight }] of this.#sources) {
      if (isIncluded(source)) {
        addCounts(total, inFlight);
      }
    }
    return total;
  }

  /** Omits targets with little load, whose exact counts do not affect routing. */
  withoutIdle(inFlight: InFlightCounts): InFlightCounts {
    const isBusy = ([incarnation, count]: [string, number]): boolean =>
      count >= BUSY_SHARE * (this.#target(incarnation)?.record.slots ?? 1);
    return Object.fromEntries(Object.entries(inFlight).filter(isBusy));
  }

  /** Returns a source's last report; undefined if it has no requests in flight. */
  get(source: string): InFlightCounts | undefined {
    const inFlight = this.#sources.get(source)?.inFlight ?? {};
    return Object.keys(inFlight).length > 0 ? inFlight : undefined;
  }

  update(source: string, inFlight: InFlightCounts): void {
    this.#forget(source);
    this.#sources.set(source, { inFlight, updatedAt: this.#clock.now() });
    for (const [incarnation, count] of Object.entries(inFlight)) {
      this.#target(incarnation)?.peersInFlight.set(source, count);
    }
  }

  /**
   * Applies fleet totals, less this host's own requests. They replace the reports that this host
   * received while it was a relay.
   *
   * @param sequence - the report of this host that the totals include
   */
  updateFromFleet(source: string, inFlight: InFlightCounts, sequence: number): void {
    const others = subtractCounts(inFlight, this.#reported.get(sequence) ?? {});
    for (const part of [...this.#sources.keys()]) {
      this.drop(part);
    }
    this.update(source, others);
  }

  /** Drops sources that timed out; called a few times a second. */
  sweep(): void {
    const now = this.#clock.now();
    for (const [source, { updatedAt }] of this.#sources) {
      if (now - updatedAt > PEER_TIMEOUT_MILLISECONDS) {
        this.drop(source);
      }
    }
  }

  drop(source: string): void {
    this.#forget(source);
    this.#sources.delete(source);
  }

  #forget(source: string): void {
    for (const incarnation of Object.keys(this.#sources.get(source)?.inFlight ?? {})) {
      this.#target(incarnation)?.peersInFlight.delete(source);
    }
  }

  /** Undefined for a former incarnation, whose counts do not apply to the current one. */
  #target(incarnation: string) {
    return this.#state.targetOfStart(incarnation);
  }
}
