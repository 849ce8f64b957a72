import { BackgroundTasks, jittered } from '@ferrylock/utils';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from './fleet-record.js';
import type { FleetStore, HostLease } from './fleet-store.js';

/** A registration outlasts its host by this much; who is alive is known from reports sooner. */
const LEASE_MILLISECONDS = 12_000;
/** Renewals in each lease, so that two may fail. */
const RENEWALS_PER_LEASE = 3;
const RETRY_MILLISECONDS = 700;
/** Longest that a host of a small fleet waits after the store's return: all are to be back within two seconds. */
const MIN_RESTORE_SPREAD_MILLISECONDS = 1_200;
/** What each host of a large one adds, so that their calls stay within what a store bears. */
const RESTORE_SPREAD_PER_HOST_MILLISECONDS = 6;

/** Longest that hosts take after the store's return until they look for their records, in milliseconds. */
export function restoreSpreadMilliseconds(hosts: number): number {
  return Math.max(MIN_RESTORE_SPREAD_MILLISECONDS, hosts * RESTORE_SPREAD_PER_HOST_MILLISECONDS);
}

export interface HostRegistrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly host: EntryHostRecord;
  /** How many entry hosts there are. */
  readonly hosts: () => number;
}

/** Keeps this entry host's record in the store, by which others find it when they start. */
export class HostRegistration {
  readonly #options: HostRegistrationOptions;
  readonly #tasks: BackgroundTasks;
  #lease: HostLease | undefined;
  /** Whether the lease may be of a former life of the store. */
  #mustVerifyLease = false;
  #pause = new AbortController();

  constructor(options: HostRegistrationOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.events.logger);
  }

  start(): void {
    this.#tasks.start('host registration', (signal) => this.#run(signal));
  }

  /** The store came back from a copy: what it holds of this host is looked for before anything else is done with it. */
  recordRestore(): void {
    this.#mustVerifyLease = true;
    this.#pause.abort();
  }

  /** Takes the record away, if the store answers. */
  async stop(): Promise<void> {
    await this.#endTasks();
    if (this.#lease !== undefined) {
      await this.#options.store.release(this.#lease);
    }
  }

  /** Renews it no longer; it lasts until its lease ends. */
  async close(): Promise<void> {
    await this.#endTasks();
  }

  async #endTasks(): Promise<void> {
    const ended = this.#tasks.stop();
    this.#pause.abort();
    await ended;
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (!signal.aborted) {
      const isKept = await this.#maintain(signal);
      if (!this.#mustVerifyLease) {
        const pause = isKept ? LEASE_MILLISECONDS / RENEWALS_PER_LEASE : RETRY_MILLISECONDS;
        await this.#sleep(jittered(random, pause), signal);
      }
    }
  }

  async #maintain(signal: AbortSignal): Promise<boolean> {
    if (this.#lease === undefined) {
      return this.#register();
    }
    return this.#mustVerifyLease ? this.#findLease(this.#lease, signal) : this.#renew(this.#lease);
  }

  async #register(): Promise<boolean> {
    const { store, host } = this.#options;
    this.#mustVerifyLease = false;
    const lease = await store.register(host, LEASE_MILLISECONDS);
    if (lease.isOk()) {
      this.#lease = lease.value;
    }
    return lease.isOk();
  }

  async #renew(lease: HostLease): Promise<boolean> {
    const renewed = await this.#options.store.renew(lease);
    if (renewed.isErr()) {
      if (renewed.error.kind === 'lease-over') {
        this.#lease = undefined;
      }
      return false;
    }
    this.#mustVerifyLease ||= renewed.value.epoch !== lease.epoch;
    return true;
  }

  /** A record that came back with the copy keeps its lease; only where there is none is it written again. */
  async #findLease(lease: HostLease, signal: AbortSignal): Promise<boolean> {
    const { random, store, host, hosts } = this.#options;
    await this.#sleep(restoreSpreadMilliseconds(hosts()) * random.next(), signal);
    if (signal.aborted) {
      return false;
    }
    this.#mustVerifyLease = false;
    const found = await store.findLease(host, lease);
    if (found.isErr()) {
      this.#mustVerifyLease = true;
      await this.#sleep(jittered(random, RETRY_MILLISECONDS), signal);
      return false;
    }
    this.#lease = found.value;
    return found.value === undefined ? this.#register() : true;
  }

  /** Sleeps until the time is over, the store comes back, or all ends. */
  async #sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    this.#pause = new AbortController();
    await this.#options.clock.sleep(milliseconds, this.#pause.signal);
  }
}
