import { stableHash } from '@ferrylock/utils';

/** Keys of recent requests with which each further one is compared. */
const COMPARED_KEYS = 32;
/** Decay of earlier comparisons with each request, so that a change of demand shows. */
const DECAY = 0.995;

/** Estimates how many keys the requests of a route have, by how often recent ones repeat. */
export class KeyVariety {
  /** Hashes of the last keys. */
  readonly #recent: number[] = [];
  #next = 0;
  /** Without comparisons, all requests count as having the same key. */
  #matches = 1;
  #comparisons = 1;

  /** Probability that two requests have the same key. */
  get repeatProbability(): number {
    return this.#matches / this.#comparisons;
  }

  record(key: string): void {
    const hash = stableHash(key);
    const matches = this.#recent.filter((recent) => recent === hash).length;
    this.#matches = 1 + (this.#matches - 1 + matches) * DECAY;
    this.#comparisons = 1 + (this.#comparisons - 1 + this.#recent.length) * DECAY;
    this.#recent[this.#next] = hash;
    this.#next = (this.#next + 1) % COMPARED_KEYS;
  }
}
