import type { TargetChoiceOptions, TargetState } from '@ferrylock/routing';
import { TargetChoice } from '@ferrylock/routing';
import { pickOne, rendezvousRank } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';

/** One entry host's choice of targets; every way works with the same observations. */
export interface AffinityWay {
  choose(key: string, now: number): TargetState | undefined;
}

export interface AffinityWayOptions {
  readonly targets: ReadonlyMap<string, TargetState>;
  readonly choice: TargetChoiceOptions;
  readonly random: Random;
  /** Entry hosts in all. */
  readonly hosts: number;
}

/** The order of a key's targets, made once for all hosts, since all of them come to the same. */
class SharedRanks {
  static readonly #ids = new Map<string, string[]>();

  constructor(readonly targets: ReadonlyMap<string, TargetState>) {}

  of(key: string): TargetState[] {
    const cacheKey = `${this.targets.size} ${key}`;
    const ids =
      SharedRanks.#ids.get(cacheKey) ?? rendezvousRank(key, [...this.targets.keys()], (id) => id);
    SharedRanks.#ids.set(cacheKey, ids);
    return ids.flatMap((id) => this.targets.get(id) ?? []);
  }
}

/** The less loaded of two targets drawn at random. */
export class RandomOfTwo implements AffinityWay {
  readonly #all: readonly TargetState[];

  constructor(readonly options: AffinityWayOptions) {
    this.#all = [...options.targets.values()];
  }

  choose(_key: string, now: number): TargetState | undefined {
    const [one, other] = [
      pickOne(this.options.random, this.#all),
      pickOne(this.options.random, this.#all),
    ];
    return (one?.load(now) ?? Infinity) <= (other?.load(now) ?? Infinity) ? one : other;
  }
}

/** The key's first target, however much it has. */
export class FirstInOrder implements AffinityWay {
  readonly #ranks: SharedRanks;

  constructor({ targets }: AffinityWayOptions) {
    this.#ranks = new SharedRanks(targets);
  }

  choose(key: string): TargetState | undefined {
    return this.#ranks.of(key)[0];
  }
}

/** The first target of the key's order, anywhere in it, that has a free slot. */
export class FirstWithRoom implements AffinityWay {
  readonly #ranks: SharedRanks;

  constructor({ targets }: AffinityWayOptions) {
    this.#ranks = new SharedRanks(targets);
  }

  choose(key: string, now: number): TargetState | undefined {
    const ranked = this.#ranks.of(key);
    return ranked.find((target) => target.load(now) < target.record.slots) ?? ranked[0];
  }
}

/**
 * Slots divided among entry hosts by a rendezvous of host and slot: the first target of the key's
 * order where one of this host's own slots is free. No loans, so that it shows what they would
 * have to carry.
 */
export class OwnSlots implements AffinityWay {
  readonly #ranks: SharedRanks;
  readonly #own = new Map<string, number>();

  constructor({ targets, hosts, random }: AffinityWayOptions) {
    this.#ranks = new SharedRanks(targets);
    for (const { id, record } of targets.values()) {
      for (let slot = 0; slot < record.slots; slot++) {
        if (random.next() < 1 / hosts) {
          this.#own.set(id, (this.#own.get(id) ?? 0) + 1);
        }
      }
    }
  }

  choose(key: string): TargetState | undefined {
    const ranked = this.#ranks.of(key);
    return ranked.find((target) => target.inFlight < (this.#own.get(target.id) ?? 0));
  }
}

/** What the product does. */
export class FewTargetsByAffinity implements AffinityWay {
  readonly #choice: TargetChoice;
  readonly #random: Random;

  constructor({ targets, choice, random }: AffinityWayOptions) {
    this.#choice = new TargetChoice(targets, choice);
    this.#random = random;
  }

  choose(key: string, now: number): TargetState | undefined {
    const demand = {
      key,
      homeRegions: [],
      tried: new Set<string>(),
      mostLoadPerSlot: 1.8,
      staysNear: false,
      prefersSecond: this.#random.next() < 0.01,
    };
    return this.#choice.choose(demand, now, () => false);
  }
}
