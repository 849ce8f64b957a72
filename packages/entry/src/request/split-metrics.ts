/** Requests of one split route that one of its services got. */
export interface SplitRow {
  readonly route: string;
  readonly service: string;
  readonly count: number;
}

/** Counts which services the requests of split routes went to. */
export class SplitMetrics {
  readonly #routes = new Map<string, Map<string, number>>();

  get rows(): SplitRow[] {
    return [...this.#routes].flatMap(([route, services]) =>
      [...services].map(([service, count]) => ({ route, service, count })),
    );
  }

  record(route: string, service: string): void {
    const services = this.#routes.get(route) ?? new Map<string, number>();
    services.set(service, (services.get(service) ?? 0) + 1);
    this.#routes.set(route, services);
  }

  /** Forgets all routes but these. */
  retain(routes: readonly { readonly name: string }[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const route of this.#routes.keys()) {
      if (!names.has(route)) {
        this.#routes.delete(route);
      }
    }
  }
}
