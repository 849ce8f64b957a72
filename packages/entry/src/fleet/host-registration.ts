import { jittered } from '@ferrylock/utils';
import type { BackgroundTasks, Clock, Random } from '@ferrylock/utils';
import { createTasks } from '../create-tasks.js';
import type { EventLog } from '../event-log.js';
import type { EntryHostRecord } from './fleet-record.js';
import type { FleetStore, HostLease } from './fleet-store.js';

/** How long a registration outlives its host; peers detect the failure sooner by its reports. */
const LEASE_MILLISECONDS = 12_000;
/** Allows two consecutive renewals to fail. */
const RENEWALS_PER_LEASE = 3;
const RETRY_MILLISECONDS = 700;
/** Upper bound in a small fleet, where all hosts must be registered again within two seconds. */
const MIN_RESTORE_SPREAD_MILLISECONDS = 1_200;
/** Bounds the rate of lookups at the store in a large fleet. */
const RESTORE_SPREAD_PER_HOST_MILLISECONDS = 6;

/** Time over which hosts spread the lookups of their registrations after a restore of the store. */
export function restoreSpreadMilliseconds(hosts: number): number {
  return Math.max(MIN_RESTORE_SPREAD_MILLISECONDS, hosts * RESTORE_SPREAD_PER_HOST_MILLISECONDS);
}

export interface HostRegistrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly host: EntryHostRecord;
  /** Number of entry hosts. */
  readonly hosts: () => number;
}

/** Maintains this entry host's registration in the store, by which other hosts discover it. */
export class HostRegistration {
  readonly #options: HostRegistrationOptions;
  readonly #tasks: BackgroundTasks;
  #lease: HostLease | undefined;
  /** Whether the lease may belong to a previous epoch of the store. */
  #mustVerifyLease = false;
  #sleepAbort = new AbortController();

  constructor(options: HostRegistrationOptions) {
    this.#options = options;
    this.#tasks = createTasks(options);
  }

  start(): void {
    this.#tasks.start('host registration', (signal) => this.#run(signal));
  }

  /** Has the lease verified before its next use, as the store was restored from a snapshot. */
  recordRestore(): void {
    this.#mustVerifyLease = true;
    this.#sleepAbort.abort();
  }

  /** Deletes the registration if the store is available. */
  async stop(): Promise<void> {
    await this.#endTasks();
    if (this.#lease !== undefined) {
      await this.#options.store.release(this.#lease);
    }
  }

  /** Stops renewing; the registration expires with its lease. */
  async close(): Promise<void> {
    await this.#endTasks();
  }

  async #endTasks(): Promise<void> {
    const ended = this.#tasks.stop();
    this.#sleepAbort.abort();
    await ended;
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (!signal.aborted) {
      const isRegistered = await this.#maintain(signal);
      if (!this.#mustVerifyLease) {
        const pause = isRegistered ? LEASE_MILLISECONDS / RENEWALS_PER_LEASE : RETRY_MILLISECONDS;
        await this.#sleep(jittered(random, pause), signal);
      }
    }
  }

  async #maintain(signal: AbortSignal): Promise<boolean> {
    if (this.#lease === undefined) {
      return this.#register();
    }
    return this.#mustVerifyLease ? this.#checkLease(this.#lease, signal) : this.#renew(this.#lease);
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

  /** Keeps a lease that the restored store still holds; registers the host again otherwise. */
  async #checkLease(lease: HostLease, signal: AbortSignal): Promise<boolean> {
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

  /** Sleeps until the time has passed, the store is restored or the tasks stop. */
  async #sleep(milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) {
      return;
    }
    this.#sleepAbort = new AbortController();
    await this.#options.clock.sleep(milliseconds, this.#sleepAbort.signal);
  }
}
