import { LIMIT_WINDOW_MILLISECONDS, TargetLimits } from '@ferrylock/routing';
import type { DisabledMechanisms, LimitFleet, TargetState, UsageByName } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { ReportedLimit, ReportedLimits } from '../peers/limit-rows.js';
import { PeerUsage } from '../peers/peer-usage.js';
import type { HostIncarnation } from '../peers/peer-usage.js';

/** How long a word is told to others that is not heard again: a target that nobody asks needs no row. */
const TOLD_MILLISECONDS = 10_000;
/** Age from which the look at who is heard counts as old, as after this process was suspended. */
const OLD_LOOK_MILLISECONDS = 1_000;

const NOTHING_TOLD: ReportedLimits = { usage: { used: {}, demand: {} }, limits: new Map() };

export interface TargetLimitControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly ownName: string;
  readonly disabledMechanisms: DisabledMechanisms;
  /** Registered hosts; the same array while nothing changes. */
  readonly hosts: () => readonly EntryHostRecord[];
  /** Names of all registered hosts and of this one; the same array while nothing changes. */
  readonly hostNames: () => readonly string[];
  readonly isAlive: (host: EntryHostRecord) => boolean;
  readonly targetOfStart: (start: string) => TargetState | undefined;
  /** A target named a limit, another one or none: others are told at once. */
  readonly onUpdate: () => void;
}

/**
 * Keeps all hosts together to the limits that targets name: what one host hears counts at all, and each knows what the others
 * send and want. Nothing is told, and nothing looked at, while no target names a limit.
 */
export class TargetLimitController {
  readonly limits: TargetLimits;
  readonly usage: PeerUsage;
  readonly #options: TargetLimitControllerOptions;
  /** Starts of targets that name a limit, or did so lately. */
  readonly #noted = new Set<string>();
  #own: UsageByName = NOTHING_TOLD.usage;
  #heardShare = 1;
  #lookedAt = -Infinity;

  constructor(options: TargetLimitControllerOptions) {
    this.#options = options;
    this.usage = new PeerUsage({
      clock: options.clock,
      windowMilliseconds: LIMIT_WINDOW_MILLISECONDS,
      own: () => this.limits.report(),
    });
    this.limits = new TargetLimits({
      ...options,
      usageElsewhere: (start) => this.usage.others(start),
      fleet: () => this.#fleet,
    });
  }

  /** A target's answer to this host named a limit, another one than before, or none any more. */
  recordLimitChange({ incarnationId: start }: TargetState): void {
    this.#note(start);
    this.#options.onUpdate();
  }

  /** Begins a new report under a number: what is told from now on tells of the present. */
  beginReport(sequence: number): void {
    if (this.#noted.size > 0) {
      this.#own = this.usage.recordReport(sequence);
    }
  }

  /** What is told to others: this host's own use, or together with that of all sources of a kind. */
  buildReport(isCounted?: (source: string) => boolean): ReportedLimits {
    const words = this.#words;
    if (words.size === 0) {
      return NOTHING_TOLD;
    }
    const usage = isCounted === undefined ? this.#own : this.usage.sum(isCounted, this.#own);
    return { usage, limits: words };
  }

  /** Whether a host told that it uses limits. */
  hasReport(host: HostIncarnation): boolean {
    return this.#noted.size > 0 && this.usage.hasDemand(this.usage.sourceOf(host));
  }

  /** Takes what a host tells of itself. */
  mergeHostReport(start: HostIncarnation, told: ReportedLimits | undefined): void {
    if (this.#isNeeded(told)) {
      this.mergeReport(this.usage.sourceOf(start), told);
    }
  }

  /** Takes what a source of reports tells. */
  mergeReport(source: string, told: ReportedLimits = NOTHING_TOLD): void {
    if (this.#isNeeded(told)) {
      this.#hear(told.limits);
      this.usage.update(source, told.usage);
    }
  }

  /** Takes what a relay tells of the whole fleet, this host's own part under a number in it. */
  mergeFleetReport(told: ReportedLimits = NOTHING_TOLD, sequence: number): void {
    if (this.#isNeeded(told)) {
      this.#hear(told.limits);
      this.usage.updateFromFleet(told.usage, sequence);
    }
  }

  /** To be called a few times a second. */
  sweep(): void {
    if (this.#noted.size === 0) {
      return;
    }
    this.usage.sweep();
    this.#look();
    const oldest = this.#options.clock.now() - TOLD_MILLISECONDS;
    for (const start of this.#noted) {
      const limit = this.#options.targetOfStart(start)?.signals.limit;
      if (limit === undefined || (limit.perSecond === undefined && limit.receivedAt < oldest)) {
        this.#noted.delete(start);
      }
    }
  }

  #isNeeded(told: ReportedLimits | undefined): boolean {
    return this.#noted.size > 0 || (told !== undefined && told.limits.size > 0);
  }

  /** Takes over what others heard; passes on at once what is news. */
  #hear(words: ReadonlyMap<string, ReportedLimit>): void {
    const { disabledMechanisms: leftOut, targetOfStart } = this.#options;
    for (const [start, told] of words) {
      const target = targetOfStart(start);
      if (target !== undefined && !leftOut.has('told-limits')) {
        this.#hearOne(target, told);
      }
    }
  }

  #hearOne(target: TargetState, { perSecond, ageMilliseconds }: ReportedLimit): void {
    const { clock, events, onUpdate: onNews } = this.#options;
    const { limit } = target.signals;
    if (!limit.merge({ perSecond, receivedAt: clock.now() - ageMilliseconds })) {
      return;
    }
    this.#note(target.incarnationId);
    const isNamed = limit.perSecond !== undefined;
    events.write({
      event: 'target',
      target: target.id,
      start: target.incarnationId,
      service: target.record.service,
      state: isNamed ? 'limited' : 'unlimited',
      detail: isNamed
        ? `told by another host: takes ${limit.perSecond} requests a second`
        : 'told by another host: names no limit any more',
    });
    onNews();
  }

  #note(start: string): void {
    if (this.#noted.size === 0) {
      this.#look();
    }
    this.#noted.add(start);
  }

  /** Words that others may need: named or heard again lately, or of a target that is asked for. */
  get #words(): Map<string, ReportedLimit> {
    const { clock, targetOfStart } = this.#options;
    const words = new Map<string, ReportedLimit>();
    for (const start of this.#noted) {
      const limit = targetOfStart(start)?.signals.limit;
      const ageMilliseconds = clock.now() - (limit?.receivedAt ?? -Infinity);
      const isUsed = this.#own.demand[start] !== undefined;
      if (limit !== undefined && (isUsed || ageMilliseconds < TOLD_MILLISECONDS)) {
        words.set(start, { perSecond: limit.perSecond, ageMilliseconds });
      }
    }
    return words;
  }

  #look(): void {
    const { clock, hosts, ownName, isAlive: isHeard } = this.#options;
    const others = hosts().filter(({ name }) => name !== ownName);
    this.#heardShare = (1 + others.filter(isHeard).length) / (1 + others.length);
    this.#lookedAt = clock.now();
  }

  get #fleet(): LimitFleet {
    const { clock, ownName, hostNames } = this.#options;
    const hosts = hostNames();
    const isOld = clock.now() - this.#lookedAt > OLD_LOOK_MILLISECONDS;
    return { hosts, ownName, visibleHostShare: isOld ? 1 / hosts.length : this.#heardShare };
  }
}
