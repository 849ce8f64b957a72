import type { Route, UnusableRoute } from './route-configuration.js';

/** Route of a request, or `unusable` if it may belong to one that cannot be used. */
export type RouteMatch = Route | 'unusable' | undefined;

interface RouteEntry {
  readonly pathPrefix: string;
  readonly match: Route | 'unusable';
}

/** Routes by host name, sorted by descending prefix length. */
export class RouteTable {
  readonly #byHost = new Map<string, RouteEntry[]>();
  /** Whether a request without a route may belong to one whose host cannot be read. */
  readonly #mayMissHosts: boolean;

  constructor(routes: readonly Route[], unusable: readonly UnusableRoute[] = []) {
    for (const route of routes) {
      this.#add(route.host, { pathPrefix: route.pathPrefix, match: route });
    }
    for (const { host, pathPrefix = '' } of unusable) {
      if (host !== undefined) {
        this.#add(host, { pathPrefix, match: 'unusable' });
      }
    }
    this.#mayMissHosts = unusable.some(({ host }) => host === undefined);
    for (const entries of this.#byHost.values()) {
      entries.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * @param hostHeader - value sent by the caller; port and letter case are ignored
   * @param path - with or without a query
   */
  find(hostHeader: string, path: string): RouteMatch {
    const entries = this.#entriesOf(hostHeader);
    const match = entries?.find(({ pathPrefix }) => path.startsWith(pathPrefix))?.match;
    return match ?? (this.#mayMissHosts ? 'unusable' : undefined);
  }

  /** Whether any region may serve all requests for a host name, which has at least one route. */
  isServedAnywhere(hostHeader: string): boolean {
    const entries = this.#entriesOf(hostHeader) ?? [];
    const isAnywhere = ({ match }: RouteEntry): boolean =>
      match !== 'unusable' && match.homeRegions.length === 0;
    return entries.length > 0 && !this.#mayMissHosts && entries.every(isAnywhere);
  }

  #entriesOf(hostHeader: string): RouteEntry[] | undefined {
    return this.#byHost.get(hostHeader.toLowerCase().replace(/:\d+$/, ''));
  }

  #add(host: string, entry: RouteEntry): void {
    const entries = this.#byHost.get(host) ?? [];
    entries.push(entry);
    this.#byHost.set(host, entries);
  }
}
