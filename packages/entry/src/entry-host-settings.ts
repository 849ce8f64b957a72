import type {
  DisabledMechanisms,
  QuotaPolicy,
  RetryBudgetSettings,
  RegionShiftLimit,
} from '@ferrylock/routing';

/** What an entry host is told when it starts. */
export interface EntryHostSettings {
  readonly name: string;
  readonly failureDomain: string;
  readonly region: string;
  /** Region of each failure domain. */
  readonly regions: Readonly<Record<string, string>>;
  readonly trafficAddress: string;
  readonly controlAddress: string;
  readonly reportAddress: string;
  /** Control addresses of hosts that may be asked while nothing is known. */
  readonly seedAddresses: readonly string[];
  /** What it can carry, in cores. */
  readonly capacity: number;
  /** Bytes of callers' bodies that are held at a time. */
  readonly maxBufferedBodyBytes: number;
  /** How long a planned stop may take. */
  readonly shutdownTimeoutMilliseconds: number;
  /** How long a leaving target serves on after it said so. */
  readonly drainMilliseconds: number;
  readonly retryBudget: RetryBudgetSettings;
  readonly regionShiftLimit: RegionShiftLimit;
  /** How client accounts' requests are counted. */
  readonly quotaPolicy: QuotaPolicy;
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Mechanisms that are left out, to measure what they are worth. */
  readonly disabledMechanisms: DisabledMechanisms;
  /** Longest that callers use a directory answer. */
  readonly maxDirectoryTtlMilliseconds: number;
}
