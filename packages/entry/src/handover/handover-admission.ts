import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { Handover } from './handover-headers.js';

/** Limit on requests of other hosts in flight, per core; the rest is for this host's own callers. */
const MAX_IN_FLIGHT_PER_CORE = 128;
/** Utilization from which this host serves only its own callers. */
const MAX_UTILIZATION = 0.8;

export interface HandoverAdmissionOptions {
  readonly ownIncarnation: string;
  /** Capacity of this host in cores. */
  readonly capacity: number;
  readonly hosts: () => readonly EntryHostRecord[];
  /** Fraction of time that this host is busy. */
  readonly utilization: () => number;
  /** Whether this host reaches no target itself. */
  readonly reachesNone: () => boolean;
  /** Version of the configuration of this host; undefined if it has none. */
  readonly version: () => number | undefined;
}

/** Reason why a request of another host is not taken. */
export type HandoverRejection = 'stranger' | 'busy' | 'unreachable' | 'behind';

/** Admits requests that other entry hosts hand over, up to a part of this host's capacity. */
export class HandoverAdmission {
  readonly #options: HandoverAdmissionOptions;
  #inFlight = 0;

  constructor(options: HandoverAdmissionOptions) {
    this.#options = options;
  }

  /** Admits a request; {@link end} must follow. */
  begin(handover: Handover): Result<void, HandoverRejection> {
    const { capacity, utilization, reachesNone, version: ownVersion } = this.#options;
    if (!this.#isFromFleet(handover)) {
      return Err('stranger');
    }
    if (reachesNone()) {
      return Err('unreachable');
    }
    if ((ownVersion() ?? -Infinity) < (handover.version ?? -Infinity)) {
      return Err('behind');
    }
    if (this.#inFlight >= MAX_IN_FLIGHT_PER_CORE * capacity || utilization() >= MAX_UTILIZATION) {
      return Err('busy');
    }
    this.#inFlight++;
    return Ok.EMPTY;
  }

  end(): void {
    this.#inFlight--;
  }

  #isFromFleet({ from, fromIncarnation, toIncarnation }: Handover): boolean {
    const { ownIncarnation, hosts } = this.#options;
    const isRegistered = hosts().some(
      ({ name, incarnation }) => name === from && incarnation === fromIncarnation,
    );
    return isRegistered && toIncarnation === ownIncarnation;
  }
}
