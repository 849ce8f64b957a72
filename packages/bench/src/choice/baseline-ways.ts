import { pickOne, shuffled } from '@ferrylock/utils';
import type { ChoiceSetting, ChoiceWay, Granted } from './choice-way.js';
import type { TargetModel } from './target-model.js';

const GOSSIP_MILLISECONDS = 100;
/** Age of what look-ups know of free slots, in milliseconds. */
const LOOKUP_LAG_MILLISECONDS = 1_000;

/** Targets of the nearest region that has any. */
function nearTargets(setting: ChoiceSetting, host: number): TargetModel[] {
  const region = setting.hostRegions[host] ?? 0;
  const local = setting.targets.filter((target) => target.region === region);
  return local.length > 0 ? local : [...setting.targets];
}

/** Two random targets, and the one that this host has less work at. */
export class OwnInFlight implements ChoiceWay {
  readonly #inFlight: Map<TargetModel, number>[];

  constructor(readonly setting: ChoiceSetting) {
    this.#inFlight = setting.hostRegions.map(() => new Map<TargetModel, number>());
  }

  /** Load of a target as the host sees it. */
  protected load(host: number, target: TargetModel): number {
    return this.#inFlight[host]?.get(target) ?? 0;
  }

  choose(host: number): Promise<Granted | undefined> {
    const near = nearTargets(this.setting, host);
    const first = pickOne(this.setting.random, near);
    const second = pickOne(this.setting.random, near);
    if (first === undefined || second === undefined) {
      return Promise.resolve(undefined);
    }
    const target = this.load(host, second) < this.load(host, first) ? second : first;
    const own = this.#inFlight[host];
    own?.set(target, (own.get(target) ?? 0) + 1);
    return Promise.resolve({
      target,
      host,
      release: () => own?.set(target, (own.get(target) ?? 1) - 1),
    });
  }

  stop(): Promise<void> {
    return Promise.resolve();
  }
}

/** The same with the peers' work as of their last message. */
export class PeersInFlight extends OwnInFlight {
  readonly #abort = new AbortController();
  #total = new Map<TargetModel, number>();

  constructor(setting: ChoiceSetting) {
    super(setting);
    void this.#gossip();
  }

  protected override load(host: number, target: TargetModel): number {
    return Math.max(super.load(host, target), this.#total.get(target) ?? 0);
  }

  override stop(): Promise<void> {
    this.#abort.abort();
    return Promise.resolve();
  }

  async #gossip(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      this.#total = new Map(this.setting.targets.map((target) => [target, target.inFlight]));
      await this.setting.clock.sleep(GOSSIP_MILLISECONDS, this.#abort.signal);
    }
  }
}

/** Each target is held by one host; look-ups send callers to holders that had free slots. */
export class TargetHolders implements ChoiceWay {
  readonly #holderOf = new Map<TargetModel, number>();
  readonly #queues = new Map<number, (() => void)[]>();
  readonly #inFlight = new Map<TargetModel, number>();
  readonly #abort = new AbortController();
  #freeAtLookup = new Map<number, number>();

  constructor(readonly setting: ChoiceSetting) {
    setting.targets.forEach((target, index) => {
      const local = setting.hostRegions.flatMap((region, host) =>
        region === target.region ? [host] : [],
      );
      this.#holderOf.set(target, local[index % local.length] ?? 0);
    });
    void this.#refreshLookups();
  }

  async choose(host: number, deadlineAt: number): Promise<Granted | undefined> {
    const holder = this.#holderFor(host);
    for (;;) {
      const granted = this.#tryTake(holder);
      if (granted !== undefined) {
        return granted;
      }
      const freed = new Promise<'freed'>((resolve) => {
        this.#queueOf(holder).push(() => {
          resolve('freed');
        });
      });
      const left = deadlineAt - this.setting.clock.now();
      const late = this.setting.clock.sleep(left).then(() => 'late' as const);
      if ((await Promise.race([freed, late])) === 'late') {
        return undefined;
      }
    }
  }

  stop(): Promise<void> {
    this.#abort.abort();
    return Promise.resolve();
  }

  /** The holder that a caller near the host was told of: one with free slots, by a late word. */
  #holderFor(host: number): number {
    const region = this.setting.hostRegions[host] ?? 0;
    const local = [...new Set(this.#holderOf.values())].filter(
      (holder) => this.setting.hostRegions[holder] === region,
    );
    const free = local.filter((holder) => (this.#freeAtLookup.get(holder) ?? 0) > 0);
    return pickOne(this.setting.random, free.length > 0 ? free : local) ?? host;
  }

  #tryTake(holder: number): Granted | undefined {
    for (const target of shuffled(this.setting.random, this.setting.targets)) {
      const used = this.#inFlight.get(target) ?? 0;
      if (this.#holderOf.get(target) === holder && used < target.slots) {
        this.#inFlight.set(target, used + 1);
        return {
          target,
          host: holder,
          release: () => {
            this.#inFlight.set(target, (this.#inFlight.get(target) ?? 1) - 1);
            this.#queueOf(holder).shift()?.();
          },
        };
      }
    }
    return undefined;
  }

  #queueOf(holder: number): (() => void)[] {
    const queue = this.#queues.get(holder) ?? [];
    this.#queues.set(holder, queue);
    return queue;
  }

  async #refreshLookups(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const free = new Map<number, number>();
      for (const [target, holder] of this.#holderOf) {
        const unused = target.slots - (this.#inFlight.get(target) ?? 0);
        free.set(holder, (free.get(holder) ?? 0) + unused);
      }
      this.#freeAtLookup = free;
      await this.setting.clock.sleep(LOOKUP_LAG_MILLISECONDS, this.#abort.signal);
    }
  }
}
