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

export interface HostRegistrationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly store: FleetStore;
  readonly host: EntryHostRecord;
}

/** Keeps this entry host's record in the store, by which others find it when they start. */
export class HostRegistration {
  readonly #options: HostRegistrationOptions;
  readonly #tasks: BackgroundTasks;
  #lease: HostLease | undefined;

  constructor(options: HostRegistrationOptions) {
    this.#options = options;
    this.#tasks = new BackgroundTasks(options.events.logger);
  }

  start(): void {
    this.#tasks.start('host registration', (signal) => this.#run(signal));
  }

  /** Takes the record away, if the store answers. */
  async stop(): Promise<void> {
    await this.#tasks.stop();
    if (this.#lease !== undefined) {
      await this.#options.store.release(this.#lease);
    }
  }

  /** Renews it no longer; it lasts until its lease ends. */
  async close(): Promise<void> {
    await this.#tasks.stop();
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.#options;
    while (!signal.aborted) {
      const isKept =
        this.#lease === undefined ? await this.#register() : await this.#renew(this.#lease);
      const pause = isKept ? LEASE_MILLISECONDS / RENEWALS_PER_LEASE : RETRY_MILLISECONDS;
      await clock.sleep(jittered(random, pause), signal);
    }
  }

  async #register(): Promise<boolean> {
    const { store, host } = this.#options;
    const lease = await store.register(host, LEASE_MILLISECONDS);
    if (lease.isOk()) {
      this.#lease = lease.value;
    }
    return lease.isOk();
  }

  async #renew(lease: HostLease): Promise<boolean> {
    const renewed = await this.#options.store.renew(lease);
    if (renewed.isErr() && renewed.error.kind === 'lease-over') {
      this.#lease = undefined;
    }
    return renewed.isOk();
  }
}
