import { LIMIT_WINDOW_MILLISECONDS, TargetLimits } from '@ferrylock/routing';
import type { LeftOut, LimitFleet, TargetState, UsageByName } from '@ferrylock/routing';
import type { Clock, Random } from '@ferrylock/utils';
import type { EventLog } from '../events.js';
import type { EntryHostRecord } from '../fleet/fleet-record.js';
import type { ToldLimit, ToldLimits } from '../peers/limit-rows.js';
import { PeerUsage } from '../peers/peer-usage.js';
import type { HostStart } from '../peers/peer-usage.js';

/** How long a word is told to others that is not heard again: a target that nobody asks needs no row. */
const TOLD_MILLISECONDS = 10_000;
/** Age from which the look at who is heard counts as old, as after this process was suspended. */
const OLD_LOOK_MILLISECONDS = 1_000;

const NOTHING_TOLD: ToldLimits = { usage: { used: {}, asked: {} }, words: new Map() };

export interface LimitDutyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly events: EventLog;
  readonly ownName: string;
  readonly leftOut: LeftOut;
  /** Registered hosts; the same array while nothing changes. */
  readonly hosts: () => readonly EntryHostRecord[];
  /** Names of all registered hosts and of this one; the same array while nothing changes. */
  readonly hostNames: () => readonly string[];
  readonly isHeard: (host: EntryHostRecord) => boolean;
  readonly targetOfStart: (start: string) => TargetState | undefined;
  /** A target named a limit, another one or none: others are told at once. */
  readonly onNews: () => void;
}

/**
 * Keeps all hosts together to the limits that targets name: what one host hears counts at all, and each knows what the others
 * send and want. Nothing is told, and nothing looked at, while no target names a limit.
 */
export class LimitDuty {
  readonly limits: TargetLimits;
  readonly usage: PeerUsage;
  readonly #options: LimitDutyOptions;
  /** Starts of targets that name a limit, or did so lately. */
  readonly #noted = new Set<string>();
  #own: UsageByName = NOTHING_TOLD.usage;
  #heardShare = 1;
  #lookedAt = -Infinity;

  constructor(options: LimitDutyOptions) {
    this.#options = options;
    this.usage = new PeerUsage({
      clock: options.clock,
      windowMilliseconds: LIMIT_WINDOW_MILLISECONDS,
      own: () => this.limits.tell(),
    });
    this.limits = new TargetLimits({
      ...options,
      others: (start) => this.usage.others(start),
      fleet: () => this.#fleet,
    });
  }

  /** A target's answer to this host named a limit, another one than before, or none any more. */
  recordWord({ start }: TargetState): void {
    this.#note(start);
    this.#options.onNews();
  }

  /** Begins a new report under a number: what is told from now on tells of the present. */
  next(sequence: number): void {
    if (this.#noted.size > 0) {
      this.#own = this.usage.report(sequence);
    }
  }

  /** What is told to others: this host's own use, or together with that of all sources of a kind. */
  tell(isCounted?: (source: string) => boolean): ToldLimits {
    const words = this.#words;
    if (words.size === 0) {
      return NOTHING_TOLD;
    }
    const usage = isCounted === undefined ? this.#own : this.usage.sum(isCounted, this.#own);
    return { usage, words };
  }

  /** Whether a host told that it uses limits. */
  isTold(host: HostStart): boolean {
    return this.#noted.size > 0 && this.usage.tells(this.usage.sourceOf(host));
  }

  /** Takes what a host tells of itself. */
  takeHost(start: HostStart, told: ToldLimits | undefined): void {
    if (this.#isNeeded(told)) {
      this.takeTold(this.usage.sourceOf(start), told);
    }
  }

  /** Takes what a source of reports tells. */
  takeTold(source: string, told: ToldLimits = NOTHING_TOLD): void {
    if (this.#isNeeded(told)) {
      this.#hear(told.words);
      this.usage.take(source, told.usage);
    }
  }

  /** Takes what a relay tells of the whole fleet, this host's own part under a number in it. */
  takeFleet(told: ToldLimits = NOTHING_TOLD, sequence: number): void {
    if (this.#isNeeded(told)) {
      this.#hear(told.words);
      this.usage.takeFleet(told.usage, sequence);
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
      const limit = this.#options.targetOfStart(start)?.word.limit;
      if (limit === undefined || (limit.perSecond === undefined && limit.heardAt < oldest)) {
        this.#noted.delete(start);
      }
    }
  }

  #isNeeded(told: ToldLimits | undefined): boolean {
    return this.#noted.size > 0 || (told !== undefined && told.words.size > 0);
  }

  /** Takes over what others heard; passes on at once what is news. */
  #hear(words: ReadonlyMap<string, ToldLimit>): void {
    const { leftOut, targetOfStart } = this.#options;
    for (const [start, told] of words) {
      const target = targetOfStart(start);
      if (target !== undefined && !leftOut.has('told-limits')) {
        this.#hearOne(target, told);
      }
    }
  }

  #hearOne(target: TargetState, { perSecond, ageMilliseconds }: ToldLimit): void {
    const { clock, events, onNews } = this.#options;
    const { limit } = target.word;
    if (!limit.hear({ perSecond, heardAt: clock.now() - ageMilliseconds })) {
      return;
    }
    this.#note(target.start);
    const isNamed = limit.perSecond !== undefined;
    events.write({
      event: 'target',
      target: target.id,
      start: target.start,
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
  get #words(): Map<string, ToldLimit> {
    const { clock, targetOfStart } = this.#options;
    const words = new Map<string, ToldLimit>();
    for (const start of this.#noted) {
      const limit = targetOfStart(start)?.word.limit;
      const ageMilliseconds = clock.now() - (limit?.heardAt ?? -Infinity);
      const isUsed = this.#own.asked[start] !== undefined;
      if (limit !== undefined && (isUsed || ageMilliseconds < TOLD_MILLISECONDS)) {
        words.set(start, { perSecond: limit.perSecond, ageMilliseconds });
      }
    }
    return words;
  }

  #look(): void {
    const { clock, hosts, ownName, isHeard } = this.#options;
    const others = hosts().filter(({ name }) => name !== ownName);
    this.#heardShare = (1 + others.filter(isHeard).length) / (1 + others.length);
    this.#lookedAt = clock.now();
  }

  get #fleet(): LimitFleet {
    const { clock, ownName, hostNames } = this.#options;
    const hosts = hostNames();
    const isOld = clock.now() - this.#lookedAt > OLD_LOOK_MILLISECONDS;
    return { hosts, ownName, heardShare: isOld ? 1 / hosts.length : this.#heardShare };
  }
}
