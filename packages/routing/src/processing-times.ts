import { MovingAverage } from '@ferrylock/utils';

/** Weight of one answer in an average: some two seconds of a host's requests. */
const WEIGHT = 0.02;
/** Weight of one answer on an unknown object, of which there are few. */
const UNKNOWN_WEIGHT = 0.1;
/** How many times as long as on known objects work takes that counts as on an unknown one. */
const UNKNOWN_FACTOR = 1.6;

/**
 * How long targets of a service work on requests of one route, on objects that they know and on
 * others. Targets do not say which it was: the time does, and whether the same target had the same
 * object before.
 */
export class ProcessingTimes {
  readonly #known = new MovingAverage(WEIGHT);
  readonly #unknown = new MovingAverage(UNKNOWN_WEIGHT);

  /** On objects that the target knows; undefined before the first answer. */
  get hitMilliseconds(): number | undefined {
    return this.#known.value ?? this.#unknown.value;
  }

  /** How much longer on objects that the target does not know; undefined until both were seen. */
  get missPenaltyMilliseconds(): number | undefined {
    const known = this.#known.value;
    const unknown = this.#unknown.value;
    return known === undefined || unknown === undefined ? undefined : Math.max(0, unknown - known);
  }

  /** @param wasFamiliar - whether this host knew that the target had worked on the object */
  record(milliseconds: number, wasFamiliar: boolean): void {
    const known = this.#known.value;
    const isQuick = known !== undefined && milliseconds < UNKNOWN_FACTOR * known;
    (isQuick || wasFamiliar ? this.#known : this.#unknown).add(milliseconds);
  }
}
