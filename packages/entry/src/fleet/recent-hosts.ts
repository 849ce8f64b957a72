import type { Clock } from '@ferrylock/utils';
import type { EntryHostRecord } from './fleet-record.js';

/** Time for which a host counts after its entry is gone; one whose lease lapsed registers again within it. */
const REMEMBERED_MILLISECONDS = 7_000;

interface VanishedHost {
  readonly host: EntryHostRecord;
  readonly until: number;
}

/** Hosts that are registered, or were until lately. */
export class RecentHosts {
  #registered: readonly EntryHostRecord[] = [];
  readonly #vanished = new Map<string, VanishedHost>();
  #hosts: readonly EntryHostRecord[] | undefined;

  constructor(readonly clock: Clock) {}

  /** The same array while the hosts do not change. */
  get hosts(): readonly EntryHostRecord[] {
    this.#dropExpired();
    this.#hosts ??= [...this.#registered, ...[...this.#vanished.values()].map(({ host }) => host)];
    return this.#hosts;
  }

  update(registered: readonly EntryHostRecord[]): void {
    const names = new Set(registered.map(({ name }) => name));
    const until = this.clock.now() + REMEMBERED_MILLISECONDS;
    for (const host of this.#registered) {
      if (!names.has(host.name)) {
        this.#vanished.set(host.name, { host, until });
      }
    }
    for (const name of names) {
      this.#vanished.delete(name);
    }
    this.#registered = registered;
    this.#hosts = undefined;
  }

  #dropExpired(): void {
    const now = this.clock.now();
    for (const [name, { until }] of this.#vanished) {
      if (until <= now) {
        this.#vanished.delete(name);
        this.#hosts = undefined;
      }
    }
  }
}
