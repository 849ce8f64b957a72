import type { ClientAccount, PeerVisibility, QuotaPolicy } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';

/** What one emulated host tells of an account. */
export interface ToldUsage {
  readonly used: number;
  readonly demandPerSecond: number;
}

/** What one emulated host knows when a request comes. */
export interface QuotaSight {
  /** All other hosts together, as told last. */
  readonly others: ToldUsage;
  readonly fleet: PeerVisibility;
  /** Hosts that have callers of the account. */
  readonly askedHosts: number;
  readonly hosts: number;
  /** This host's place among them, from 0. */
  readonly place: number;
  /** Part of the hosts, this one included, that it hears. */
  readonly heardShare: number;
}

/** One way of keeping an account's limit over many hosts; one object for each host's process. */
export interface QuotaWay {
  setAccount(account: ClientAccount): void;
  /** Whether a request may run. */
  take(sight: QuotaSight): boolean;
  /** What it tells others now. */
  tell(sight: QuotaSight): ToldUsage;
}

export interface QuotaWayOptions {
  readonly account: ClientAccount;
  readonly bound: QuotaPolicy;
  readonly clock: Clock;
  readonly random: Random;
}

export type MakeQuotaWay = (options: QuotaWayOptions) => QuotaWay;
