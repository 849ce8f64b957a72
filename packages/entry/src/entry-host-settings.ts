import type {
  DisabledMechanisms,
  QuotaPolicy,
  RetryBudgetSettings,
  RegionShiftLimit,
} from '@ferrylock/routing';

/** Settings of an entry host. */
export interface EntryHostSettings {
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>;
  readonly trafficAddress: string;
  readonly controlAddress: string;
  readonly reportAddress: string;
  /** Control addresses of hosts from which a host without state bootstraps. */
  readonly seedAddresses: readonly string[];
  /** Capacity in cores. */
  readonly capacity: number;
  /** Limit on the request bodies that are buffered at a time. */
  readonly maxBufferedBodyBytes: number;
  /** Limit on the bytes that were read from all connections and not parsed. */
  readonly maxWaitingBytes: number;
  /** Limit on the connections of clients at all ports together. */
  readonly maxClientConnections: number;
  /** Bound on a graceful shutdown. */
  readonly shutdownTimeoutMilliseconds: number;
  /** How long a target continues to serve after it announced that it is leaving. */
  readonly drainMilliseconds: number;
  readonly retryBudget: RetryBudgetSettings;
  readonly regionShiftLimit: RegionShiftLimit;
  /** Enforcement of the request limits of client accounts. */
  readonly quotaPolicy: QuotaPolicy;
  /** Whether this is the first start of the whole deployment. */
  readonly isFirstStart: boolean;
  /** Mechanisms that are disabled for comparison. */
  readonly disabledMechanisms: DisabledMechanisms;
  /** Upper bound on the time to live of a directory answer. */
  readonly maxDirectoryTtlMilliseconds: number;
}
