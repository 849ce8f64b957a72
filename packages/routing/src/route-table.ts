import type { Route } from './route-configuration.js';

/** Routes by host name, sorted by descending prefix length. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const hostRoutes = this.#byHost.get(route.host) ?? [];
      hostRoutes.push(route);
      this.#byHost.set(route.host, hostRoutes);
    }
    for (const hostRoutes of this.#byHost.values()) {
      hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * @param hostHeader - value sent by the caller; port and letter case are ignored
   * @param path - with or without a query
   */
  find(hostHeader: string, path: string): Route | undefined {
    const host = hostHeader.toLowerCase().replace(/:\d+$/, '');
    return this.#byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
