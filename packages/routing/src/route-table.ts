import type { Route } from './route-configuration.js';

/** Routes by host name, each host's from the longest prefix to the shortest. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const ofHost = this.#byHost.get(route.host) ?? [];
      ofHost.push(route);
      this.#byHost.set(route.host, ofHost);
    }
    for (const ofHost of this.#byHost.values()) {
      ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * @param hostHeader - as the caller sent it; a port and letter case do not matter
   * @param path - with or without a query
   */
  find(hostHeader: string, path: string): Route | undefined {
    const host = hostHeader.toLowerCase().replace(/:\d+$/, '');
    return this.#byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }
}
