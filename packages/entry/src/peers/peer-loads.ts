import type { Clock } from '@ferrylock/utils';
import type { RoutingState } from '../routing/routing-state.js';
import { addCounts, subtractCounts } from './counts.js';
import type { InFlightCounts } from './in-flight.js';
import { PEER_TIMEOUT_MILLISECONDS } from './peer-table.js';

/** Part of its slots from which a target's load decides: below, it takes any key's requests. */
const BUSY_SHARE = 0.4;
/** Own reports that are kept until a relay has counted them in. */
const KEPT_REPORTS = 16;

/** What one source told last. */
interface SourceLoads {
  readonly inFlight: InFlightCounts;
  readonly updatedAt: number;
}

/**
 * Requests of other entry hosts at targets. A source is a host, another failure domain as a whole,
 * or the whole fleet; what it tells replaces what it told before.
 */
export class PeerLoads {
  readonly #clock: Clock;
  readonly #state: RoutingState;
  readonly #sources = new Map<string, SourceLoads>();
  /** This host's last reports, by their number. */
  readonly #reported = new Map<number, InFlightCounts>();

  constructor(clock: Clock, state: RoutingState) {
    this.#clock = clock;
    this.#state = state;
  }

  /** This host's own requests now, to be reported under a number. */
  recordReport(sequence: number): InFlightCounts {
    const inFlight: Record<string, number> = {};
    for (const { targets } of this.#state.services) {
      for (const target of targets.values()) {
        if (target.inFlight > 0) {
          inFlight[target.incarnationId] = target.inFlight;
        }
      }
    }
    this.#reported.set(sequence, inFlight);
    this.#reported.delete(sequence - KEPT_REPORTS);
    return inFlight;
  }

  /** What all sources of a kind told, together with more. */
  sum(isCounted: (source: string) => boolean, more: InFlightCounts): InFlightCounts {
    const total: Record<string, number> = { ...more };
    for (const [source, { inFlight }] of this.#sources) {
      if (isCounted(source)) {
        addCounts(total, inFlight);
      }
    }
    return total;
  }

  /**
   * Without targets that have little to do: whether these have one request or two changes no choice,
   * and most have.
   */
  withoutIdle(inFlight: InFlightCounts): InFlightCounts {
    const isBusy = ([start, count]: [string, number]): boolean =>
      count >= BUSY_SHARE * (this.#target(start)?.record.slots ?? 1);
    return Object.fromEntries(Object.entries(inFlight).filter(isBusy));
  }

  /** What a source told last; undefined where it told of no requests. */
  get(source: string): InFlightCounts | undefined {
    const inFlight = this.#sources.get(source)?.inFlight ?? {};
    return Object.keys(inFlight).length > 0 ? inFlight : undefined;
  }

  update(source: string, inFlight: InFlightCounts): void {
    this.#forget(source);
    this.#sources.set(source, { inFlight, updatedAt: this.#clock.now() });
    for (const [start, count] of Object.entries(inFlight)) {
      this.#target(start)?.peersInFlight.set(source, count);
    }
  }

  /**
   * Takes what is told of the whole fleet, less this host's own part in it. What parts of the fleet
   * told before, while this host was a relay, is in it.
   *
   * @param sequence - the report of this host that is counted in
   */
  updateFromFleet(source: string, inFlight: InFlightCounts, sequence: number): void {
    const others = subtractCounts(inFlight, this.#reported.get(sequence) ?? {});
    for (const part of [...this.#sources.keys()]) {
      this.drop(part);
    }
    this.update(source, others);
  }

  /** To be called a few times a second: drops what sources told that fell silent. */
  sweep(): void {
    const now = this.#clock.now();
    for (const [source, { updatedAt: toldAt }] of this.#sources) {
      if (now - toldAt > PEER_TIMEOUT_MILLISECONDS) {
        this.drop(source);
      }
    }
  }

  drop(source: string): void {
    this.#forget(source);
    this.#sources.delete(source);
  }

  #forget(source: string): void {
    for (const start of Object.keys(this.#sources.get(source)?.inFlight ?? {})) {
      this.#target(start)?.peersInFlight.delete(source);
    }
  }

  /** What is told of a former start says nothing of the present one. */
  #target(start: string) {
    return this.#state.targetOfStart(start);
  }
}
