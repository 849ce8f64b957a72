import type { ConfigurationReplica, LimitRegister } from '@ferrylock/control';
import type { ConfigurationDocument } from '@ferrylock/schema';
import type { AccountRuntimeOptions } from './account-runtime.js';
import { AccountRuntime } from './account-runtime.js';
import type { ServiceRuntime } from './service-runtime.js';

/** All accounts and services as this daemon serves them, kept in step with the configuration. */
export class ServiceDirectory {
  readonly #accounts = new Map<string, AccountRuntime>();
  /** Services by host name; null where two accounts claim the same name, and neither gets it. */
  readonly #byHostName = new Map<string, ServiceRuntime | null>();
  #leavingAddresses: ReadonlySet<string> = new Set();
  readonly #changeListeners: (() => void)[] = [];

  constructor(
    readonly replica: ConfigurationReplica,
    readonly register: LimitRegister,
    readonly options: AccountRuntimeOptions,
  ) {
    replica.onChange((document) => {
      this.#update(document);
    });
  }

  account(name: string): AccountRuntime | undefined {
    return this.#accounts.get(name);
  }

  service(account: string, service: string): ServiceRuntime | undefined {
    return this.#accounts.get(account)?.services.get(service);
  }

  /** The service that a Host header names, with or without a port. */
  byHostHeader(host: string): ServiceRuntime | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    return this.#byHostName.get(name) ?? undefined;
  }

  allServices(): ServiceRuntime[] {
    return [...this.#accounts.values()].flatMap((account) => [...account.services.values()]);
  }

  /** Gives no new work to targets on hosts that the platform lists as leaving. */
  setLeavingAddresses(addresses: ReadonlySet<string>): void {
    this.#leavingAddresses = addresses;
    for (const service of this.allServices()) {
      service.targets.setLeavingAddresses(addresses);
    }
  }

  onChange(listener: () => void): void {
    this.#changeListeners.push(listener);
  }

  /** Whether no target has more of this daemon's work than slots that it may use now. */
  usageFits(): boolean {
    return this.allServices().every((service) => service.usageFits());
  }

  /** Longest deadline of any service: no work that has begun lasts longer. */
  longestDeadlineMilliseconds(): number {
    return this.allServices().reduce(
      (longest, service) => Math.max(longest, service.longestDeadlineMilliseconds),
      0,
    );
  }

  /** The other account that has declared a host name, if there is one. */
  ownerOfHostName(hostName: string, exceptAccount: string): string | undefined {
    return this.replica
      .all()
      .filter((document) => document.account !== exceptAccount)
      .find((document) =>
        Object.values(document.declaration.services).some((service) =>
          service.hostNames.includes(hostName),
        ),
      )?.account;
  }

  #update(document: ConfigurationDocument): void {
    const { account, declaration } = document;
    const runtime = this.#accounts.get(account) ?? new AccountRuntime(account, this.options);
    this.#accounts.set(account, runtime);
    runtime.update(document);
    this.setLeavingAddresses(this.#leavingAddresses);
    const limits = AccountRuntime.dividedLimits(declaration, runtime.services.values());
    this.register.replace(account, limits);
    this.#indexHostNames();
    this.#changeListeners.forEach((listener) => {
      listener();
    });
  }

  #indexHostNames(): void {
    this.#byHostName.clear();
    for (const service of this.allServices()) {
      for (const hostName of service.declaration.hostNames) {
        const taken = this.#byHostName.has(hostName);
        this.#byHostName.set(hostName, taken ? null : service);
      }
    }
  }
}
