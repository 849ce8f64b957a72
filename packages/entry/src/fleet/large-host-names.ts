import type { EntryHostRecord } from './fleet-record.js';
import { largeHosts } from './large-hosts.js';

/** Names of the large hosts; the same array while the fleet does not change. */
export class LargeHostNames {
  #of: readonly EntryHostRecord[] = [];
  #names: readonly string[];

  constructor(ownName: string) {
    this.#names = [ownName];
  }

  /** @param all - names to use if no host is large */
  of(hosts: readonly EntryHostRecord[], all: readonly string[]): readonly string[] {
    if (this.#of !== hosts) {
      const large = largeHosts(hosts, (record) => record).map(({ name }) => name);
      this.#of = hosts;
      this.#names = large.length > 0 ? large : all;
    }
    return this.#names;
  }
}
