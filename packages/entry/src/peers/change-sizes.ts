import type { FleetChange } from '../fleet/fleet-record.js';

/** Encoded sizes of changes, each computed once: a configuration may have a megabyte. */
export class ChangeSizes {
  readonly #bytes = new WeakMap<FleetChange, number>();

  bytesOf(change: FleetChange): number {
    const known = this.#bytes.get(change);
    if (known !== undefined) {
      return known;
    }
    const bytes = Buffer.byteLength(JSON.stringify(change));
    this.#bytes.set(change, bytes);
    return bytes;
  }
}
