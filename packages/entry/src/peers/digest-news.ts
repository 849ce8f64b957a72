import type { FleetDelta } from '../fleet/fleet-delta.js';
import type { FleetChange } from '../fleet/fleet-record.js';
import type { FleetView } from '../fleet/fleet-view.js';
import type { StorePosition } from '../fleet/store-position.js';
import { isAfter } from '../fleet/store-position.js';

/**
 * Bound on the changes in a digest, which goes to many hosts. Larger ones are fetched by the hosts
 * that lack them, once each.
 */
const MAX_NEWS_BYTES = 4_096;

/** Changes of the store that digests carry. */
export class DigestNews {
  readonly #view: FleetView;
  /** Encoded sizes, each computed once: a configuration may have a megabyte. */
  readonly #bytes = new WeakMap<FleetChange, number>();

  constructor(view: FleetView) {
    this.#view = view;
  }

  /** Changes after a position; undefined if there are none, or too many for a digest. */
  after(position: StorePosition): FleetDelta | undefined {
    const view = this.#view;
    const delta = isAfter(view.lastChange, position) ? view.deltaSince(position) : undefined;
    const changes = [...(delta?.changes ?? []), ...(delta?.kept ?? [])];
    const bytes = changes.reduce((sum, change) => sum + this.#bytesOf(change), 0);
    return bytes <= MAX_NEWS_BYTES ? delta : undefined;
  }

  #bytesOf(change: FleetChange): number {
    const known = this.#bytes.get(change);
    if (known !== undefined) {
      return known;
    }
    const bytes = Buffer.byteLength(JSON.stringify(change));
    this.#bytes.set(change, bytes);
    return bytes;
  }
}
