import type { Declaration } from '@ferrylock/schema';
import type { Clock } from '@ferrylock/utils';
import type { Place } from '../lookup/distance-map.js';
import { liesIn } from '../lookup/distance-map.js';
import type { RateAllotment } from './rate-allotment.js';
import { SharedBucket } from './shared-bucket.js';

/** The key under which a link's cap is divided between daemons. */
export function linkLimitKey(account: string, link: string, unit: 'requests' | 'bytes'): string {
  return `link-${unit}/${account}/${link}`;
}

interface Link {
  readonly from: string;
  readonly to: string;
  readonly requests: SharedBucket | undefined;
  readonly bytes: SharedBucket | undefined;
}

/** The caps of one account on what passes between places, as this daemon may use them. */
export class LinkLimits {
  readonly #links: readonly Link[];
  readonly #buckets = new Map<string, SharedBucket>();
  readonly #cache = new Map<string, readonly Link[]>();

  /** @param before - the limits that these replace; buckets of unchanged caps go on as they are */
  constructor(
    declaration: Pick<Declaration, 'account' | 'links'>,
    allotment: RateAllotment,
    clock: Clock,
    before?: LinkLimits,
  ) {
    const bucket = (key: string, cap: number | undefined): SharedBucket | undefined => {
      if (cap === undefined) {
        return undefined;
      }
      const kept = before === undefined ? undefined : before.#buckets.get(key);
      const current =
        kept?.capPerSecond === cap ? kept : new SharedBucket(key, cap, allotment, clock);
      this.#buckets.set(key, current);
      return current;
    };
    this.#links = Object.entries(declaration.links).map(([name, link]) => ({
      from: link.from,
      to: link.to,
      requests: bucket(linkLimitKey(declaration.account, name, 'requests'), link.requestsPerSecond),
      bytes: bucket(linkLimitKey(declaration.account, name, 'bytes'), link.bytesPerSecond),
    }));
  }

  /** Whether the account has no caps on links at all. */
  get isEmpty(): boolean {
    return this.#links.length === 0;
  }

  /** Whether one more request may pass now. */
  hasRoom(from: Place, to: Place): boolean {
    return this.#between(from, to).every((link) => link.requests?.has(1) ?? true);
  }

  /** Counts a request as passed; call only after {@link hasRoom}, with nothing awaited between. */
  takeRequest(from: Place, to: Place): void {
    for (const link of this.#between(from, to)) {
      link.requests?.take(1);
    }
  }

  /** Counts a request that would pass if it might. */
  recordDemand(from: Place, to: Place): void {
    for (const link of this.#between(from, to)) {
      link.requests?.recordDemand(1);
    }
  }

  /** The buckets that bytes between the places have to pass. */
  byteBuckets(from: Place, to: Place): SharedBucket[] {
    return this.#between(from, to).flatMap((link) => link.bytes ?? []);
  }

  #between(from: Place, to: Place): readonly Link[] {
    const key = `${from.failureDomain} ${to.failureDomain}`;
    const known = this.#cache.get(key);
    if (known !== undefined) {
      return known;
    }
    const links = this.#links.filter((link) => liesIn(from, link.from) && liesIn(to, link.to));
    this.#cache.set(key, links);
    return links;
  }
}
