import { AccountQuotas, unaccountedShare } from '@ferrylock/routing';
import type {
  UsageByName,
  ClientAccount,
  PeerVisibility,
  QuotaPolicy,
  QuotaRefusal,
} from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import { largeHosts } from '../fleet/large-hosts.js';
import { PeerUsage } from '../peers/peer-usage.js';
import type { HostIncarnation } from '../peers/peer-usage.js';

/**
 * From the end of a process to the first request of the next one, at least: for so long nothing ran at
 * this host, though the new process does not remember it.
 */
const LEAST_DOWN_MILLISECONDS = 1_000;
/** Below this part of the registered hosts a host is rather cut off itself than the others are. */
const FEWEST_HEARD = 0.5;
/**
 * Hosts that know nothing of others, large and small ones together, have two such parts of what a window may
 * have: half of a fleet that starts again beside a busy half then uses what is left on top of the limit.
 */
const BLIND_PARTS = 3;
/** Time between two looks at who is heard, where most are; hosts count as silent after a longer time. */
const LOOK_MILLISECONDS = 1_000;
/** Part of an account's limit from which others are told at once how its use grows. */
const NEAR_LIMIT = 0.65;
/**
 * Part of its limit by which an account's use grows before others are told at once: at the limit's own rate
 * that is less than a round of reports, so that only a rush is told out of turn.
 */
const TOLD_AT_ONCE = 0.045;
/**
 * Requests on top of that part: use of small accounts goes up and down by chance, and was told out of turn half
 * again as often as all rounds together (15 instead of 10 messages a second and host, 80 accounts of 8 requests a
 * second, each asked for its rate).
 */
const LEAST_TOLD_AT_ONCE = 10;

/** Shortest time between two messages that are sent for a rush, so that these cost little. */
const LEAST_BETWEEN_RUSHES_MILLISECONDS = 100;

export interface AccountLimitControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly bound: QuotaPolicy;
  readonly ownName: string;
  /** Whether the whole deployment starts for the first time, so that nothing ran before. */
  readonly isFirstStart: boolean;
  /** Registered hosts; the same array while nothing changes. */
  readonly hosts: () => readonly EntryHostRecord[];
  readonly isAlive: (host: EntryHostRecord) => boolean;
  /** An account's use grows faster than the rounds of reports tell. */
  readonly onSurge: () => void;
}

/** Keeps client accounts to their limits, with what other hosts tell of their use. */
export class AccountLimitController {
  readonly quotas: AccountQuotas;
  readonly usage: PeerUsage;
  readonly #options: AccountLimitControllerOptions;
  /** Use of accounts by the whole fleet, as it was when this host told of it last. */
  readonly #toldTotal = new Map<string, number>();
  #rushToldAt = -Infinity;
  /** Since when what ran anywhere is remembered by some host that is heard. */
  #rememberedSince: number;
  #hearsMost = false;
  #lookedAt = -Infinity;
  #blindShareOf: readonly EntryHostRecord[] | undefined;
  /** When the use of most other hosts was told last. */
  #newsAt = -Infinity;
  #blindShare = 0;

  constructor(options: AccountLimitControllerOptions) {
    this.#options = options;
    const { clock, bound } = options;
    this.#rememberedSince = options.isFirstStart ? -Infinity : clock.now();
    this.usage = new PeerUsage({
      clock,
      windowMilliseconds: bound.windowMilliseconds,
      own: () => this.quotas.usage,
    });
    this.quotas = new AccountQuotas({
      ...options,
      usageElsewhere: (account) => this.usage.others(account),
      visibility: () => this.#fleet,
    });
    this.sweep();
  }

  /** How long some host that is heard remembers what ran, in milliseconds; at most one window. */
  get historyMilliseconds(): number {
    const { clock, bound } = this.#options;
    return Math.min(bound.windowMilliseconds, clock.now() - this.#rememberedSince);
  }

  /** Lets a request of an account run, or tells why not. */
  acquire(account: ClientAccount): QuotaRefusal | undefined {
    const refusal = this.quotas.acquire(account);
    if (refusal === undefined) {
      this.#tellRush(account.name);
    }
    return refusal;
  }

  /** Counts in how often a request that was let run came to run. */
  settle(account: ClientAccount, runs: number): void {
    this.quotas.recordRuns(account, runs);
  }

  /** Takes what a host tells of itself. */
  mergeHostReport(
    start: HostIncarnation,
    told: UsageByName | undefined,
    rememberedMilliseconds: number,
  ): void {
    this.mergeReport(this.usage.sourceOf(start), told, rememberedMilliseconds);
  }

  /** Takes what a source of reports tells. */
  mergeReport(source: string, told: UsageByName | undefined, rememberedMilliseconds: number): void {
    const grown = Object.entries(told?.used ?? {}).filter(
      ([account, used]) => used > this.usage.usedOf(source, account) + 1,
    );
    this.usage.update(source, told);
    this.#takeNews(rememberedMilliseconds);
    for (const [account] of grown) {
      this.#tellRush(account);
    }
  }

  /** Takes what a relay tells of the whole fleet. */
  mergeFleetReport(
    told: UsageByName | undefined,
    sequence: number,
    rememberedMilliseconds: number,
  ): void {
    this.usage.updateFromFleet(told, sequence);
    this.#takeNews(rememberedMilliseconds);
  }

  /** This host's own use, to be told under a number; what grew until now is told with it. */
  report(sequence: number): UsageByName {
    const usage = this.usage.recordReport(sequence);
    this.#toldTotal.clear();
    for (const account of Object.keys(usage.used)) {
      this.#toldTotal.set(account, this.#totalOf(account));
    }
    return usage;
  }

  /** To be called a few times a second: looks who is heard. */
  sweep(): void {
    const { clock, hosts, ownName, isAlive: isHeard } = this.#options;
    const now = clock.now();
    this.usage.sweep();
    const isRecent = this.#hearsMost && now - this.#lookedAt < LOOK_MILLISECONDS;
    if (!this.quotas.hasLimits || isRecent) {
      return;
    }
    this.#lookedAt = now;
    const registered = hosts();
    const others = registered.filter(({ name }) => name !== ownName);
    const heard = others.filter((host) => isHeard(host)).length;
    this.#hearsMost = heard + 1 >= FEWEST_HEARD * (others.length + 1);
  }

  /** This host's part where it knows nothing of others. */
  #blindShareAmong(registered: readonly EntryHostRecord[]): number {
    if (registered === this.#blindShareOf) {
      return this.#blindShare;
    }
    this.#blindShareOf = registered;
    const large = largeHosts(registered, (host) => host);
    const isLarge = large.some(({ name }) => name === this.#options.ownName);
    const hosts = isLarge ? large.length : registered.length;
    this.#blindShare = 1 / (BLIND_PARTS * Math.max(1, hosts));
    return this.#blindShare;
  }

  get #fleet(): PeerVisibility {
    const { clock, bound, hosts, ownName } = this.#options;
    const { windowMilliseconds } = bound;
    const registered = hosts();
    const isAlone = registered.every(({ name }) => name === ownName);
    const known = this.historyMilliseconds + LEAST_DOWN_MILLISECONDS;
    return {
      isAlone,
      peerReportAgeMilliseconds: isAlone ? 0 : clock.now() - this.#newsAt,
      isolatedShare: this.#blindShareAmong(registered),
      unaccountedShare: unaccountedShare(known, windowMilliseconds),
    };
  }

  #takeNews(rememberedMilliseconds: number): void {
    const now = this.#options.clock.now();
    this.#newsAt = this.#hearsMost ? now : this.#newsAt;
    const rememberedSince = now - rememberedMilliseconds;
    this.#rememberedSince = Math.min(this.#rememberedSince, rememberedSince);
  }

  /** Has others told at once where an account's use nears its limit faster than the rounds of reports tell. */
  #tellRush(account: string): void {
    const limit = this.quotas.limitOf(account);
    const now = this.#options.clock.now();
    if (limit === undefined || now - this.#rushToldAt < LEAST_BETWEEN_RUSHES_MILLISECONDS) {
      return;
    }
    const total = this.#totalOf(account);
    const told = this.#toldTotal.get(account) ?? total;
    this.#toldTotal.set(account, told);
    if (total > NEAR_LIMIT * limit && total - told > LEAST_TOLD_AT_ONCE + TOLD_AT_ONCE * limit) {
      this.#rushToldAt = now;
      this.#options.onSurge();
    }
  }

  #totalOf(account: string): number {
    return this.usage.others(account).used + (this.quotas.usedBy(account) ?? 0);
  }
}
