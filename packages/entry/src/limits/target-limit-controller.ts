import { LIMIT_WINDOW_MILLISECONDS, TargetLimits } from '@ferrylock/routing';
import type { DisabledMechanisms, LimitFleet, TargetState, UsageByName } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../event-log.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { ReportedLimit, ReportedLimits } from '../peers/limit-rows.js';
import { PeerUsage } from '../peers/peer-usage.js';
import type { HostIncarnation } from '../peers/peer-usage.js';

/** Time for which a limit is reported to peers unless it is received again or in use. */
const REPORTED_MILLISECONDS = 10_000;
/** Age from which the check of live hosts is stale, as after this process was suspended. */
const STALE_CHECK_MILLISECONDS = 1_000;

const EMPTY_REPORT: ReportedLimits = { usage: { used: {}, demand: {} }, limits: new Map() };

export interface TargetLimitControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly ownName: string;
  readonly disabledMechanisms: DisabledMechanisms;
  /** Registered hosts; the same array until the set changes. */
  readonly hosts: () => readonly EntryHostRecord[];
  /** Names of all registered hosts and of this one; the same array until the set changes. */
  readonly hostNames: () => readonly string[];
  readonly isAlive: (host: EntryHostRecord) => boolean;
  readonly targetOfStart: (incarnation: string) => TargetState | undefined;
  /** Called when a limit is advertised, changed or withdrawn, to notify peers immediately. */
  readonly onUpdate: () => void;
}

/**
 * Enforces the limits that targets advertise across all hosts: a limit received by one host applies
 * at all of them, and hosts report their usage and demand to each other. Does no work while no
 * target advertises a limit.
 */
export class TargetLimitController {
  readonly limits: TargetLimits;
  readonly usage: PeerUsage;
  readonly #options: TargetLimitControllerOptions;
  /** Incarnations of targets that advertise a limit, or did so recently. */
  readonly #limitedIncarnations = new Set<string>();
  #ownUsage: UsageByName = EMPTY_REPORT.usage;
  #aliveShare = 1;
  #checkedAt = -Infinity;

  constructor(options: TargetLimitControllerOptions) {
    this.#options = options;
    this.usage = new PeerUsage({
      clock: options.clock,
      windowMilliseconds: LIMIT_WINDOW_MILLISECONDS,
      own: () => this.limits.report(),
    });
    this.limits = new TargetLimits({
      ...options,
      usageElsewhere: (incarnation) => this.usage.others(incarnation),
      fleet: () => this.#fleet,
    });
  }

  /** Records that a response to this host advertised, changed or withdrew a target's limit. */
  recordLimitChange({ incarnationId: incarnation }: TargetState): void {
    this.#addIncarnation(incarnation);
    this.#options.onUpdate();
  }

  /** Takes a snapshot of this host's usage for the report with a sequence number. */
  beginReport(sequence: number): void {
    if (this.#limitedIncarnations.size > 0) {
      this.#ownUsage = this.usage.recordReport(sequence);
    }
  }

  /** Builds the report for peers: this host's usage, plus that of the counted sources if given. */
  buildReport(isCounted?: (source: string) => boolean): ReportedLimits {
    const limits = this.#reportedLimits;
    if (limits.size === 0) {
      return EMPTY_REPORT;
    }
    const usage =
      isCounted === undefined ? this.#ownUsage : this.usage.sum(isCounted, this.#ownUsage);
    return { usage, limits };
  }

  /** Checks whether a host has reported usage of limits. */
  hasReport(host: HostIncarnation): boolean {
    return this.#limitedIncarnations.size > 0 && this.usage.hasDemand(this.usage.sourceOf(host));
  }

  /** Merges the report of a host about itself. */
  mergeHostReport(host: HostIncarnation, report: ReportedLimits | undefined): void {
    if (this.#isActive(report)) {
      this.mergeReport(this.usage.sourceOf(host), report);
    }
  }

  /** Merges the report of a source. */
  mergeReport(source: string, report: ReportedLimits = EMPTY_REPORT): void {
    if (this.#isActive(report)) {
      this.#mergeLimits(report.limits);
      this.usage.update(source, report.usage);
    }
  }

  /**
   * Merges a relay's report on the whole fleet.
   *
   * @param sequence - number of this host's own report that is included
   */
  mergeFleetReport(report: ReportedLimits = EMPTY_REPORT, sequence: number): void {
    if (this.#isActive(report)) {
      this.#mergeLimits(report.limits);
      this.usage.updateFromFleet(report.usage, sequence);
    }
  }

  /** Refreshes the live hosts and drops withdrawn limits; call a few times per second. */
  sweep(): void {
    if (this.#limitedIncarnations.size === 0) {
      return;
    }
    this.usage.sweep();
    this.#checkLiveHosts();
    const oldest = this.#options.clock.now() - REPORTED_MILLISECONDS;
    for (const incarnation of this.#limitedIncarnations) {
      const limit = this.#options.targetOfStart(incarnation)?.signals.limit;
      if (limit === undefined || (limit.perSecond === undefined && limit.receivedAt < oldest)) {
        this.#limitedIncarnations.delete(incarnation);
      }
    }
  }

  #isActive(report: ReportedLimits | undefined): boolean {
    return this.#limitedIncarnations.size > 0 || (report !== undefined && report.limits.size > 0);
  }

  /** Applies limits that peers received. */
  #mergeLimits(limits: ReadonlyMap<string, ReportedLimit>): void {
    const { disabledMechanisms, targetOfStart } = this.#options;
    for (const [incarnation, report] of limits) {
      const target = targetOfStart(incarnation);
      if (target !== undefined && !disabledMechanisms.has('told-limits')) {
        this.#mergeLimit(target, report);
      }
    }
  }

  #mergeLimit(target: TargetState, { perSecond, ageMilliseconds }: ReportedLimit): void {
    const { clock, events, onUpdate } = this.#options;
    const { limit } = target.signals;
    if (!limit.merge({ perSecond, receivedAt: clock.now() - ageMilliseconds })) {
      return;
    }
    this.#addIncarnation(target.incarnationId);
    const hasLimit = limit.perSecond !== undefined;
    events.write({
      event: 'target',
      target: target.id,
      start: target.incarnationId,
      service: target.record.service,
      state: hasLimit ? 'limited' : 'unlimited',
      detail: hasLimit
        ? `reported by another host: takes ${limit.perSecond} requests a second`
        : 'reported by another host: no longer advertises a limit',
    });
    onUpdate();
  }

  #addIncarnation(incarnation: string): void {
    if (this.#limitedIncarnations.size === 0) {
      this.#checkLiveHosts();
    }
    this.#limitedIncarnations.add(incarnation);
  }

  /** Limits to report: received recently, or of a target that is in use. */
  get #reportedLimits(): Map<string, ReportedLimit> {
    const { clock, targetOfStart } = this.#options;
    const limits = new Map<string, ReportedLimit>();
    for (const incarnation of this.#limitedIncarnations) {
      const limit = targetOfStart(incarnation)?.signals.limit;
      const ageMilliseconds = clock.now() - (limit?.receivedAt ?? -Infinity);
      const isInUse = this.#ownUsage.demand[incarnation] !== undefined;
      if (limit !== undefined && (isInUse || ageMilliseconds < REPORTED_MILLISECONDS)) {
        limits.set(incarnation, { perSecond: limit.perSecond, ageMilliseconds });
      }
    }
    return limits;
  }

  #checkLiveHosts(): void {
    const { clock, hosts, ownName, isAlive } = this.#options;
    const others = hosts().filter(({ name }) => name !== ownName);
    this.#aliveShare = (1 + others.filter(isAlive).length) / (1 + others.length);
    this.#checkedAt = clock.now();
  }

  get #fleet(): LimitFleet {
    const { clock, ownName, hostNames } = this.#options;
    const hosts = hostNames();
    const isStale = clock.now() - this.#checkedAt > STALE_CHECK_MILLISECONDS;
    return { hosts, ownName, visibleHostShare: isStale ? 1 / hosts.length : this.#aliveShare };
  }
}
