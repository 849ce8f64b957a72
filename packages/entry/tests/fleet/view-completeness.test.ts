/**
 * Guards against a view that claims more than it holds: pages of listings, watches, deltas,
 * snapshots and confirmations of one store, late, lost and in any order.
 */
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import type { FleetChange } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import type { StorePosition } from '../../src/fleet/store-position.js';
import { targetChange } from '../fixtures.js';

const SEEDS_PER_TEST = 100;
const STEPS = 150;
const KEYS = 6;
const VIEWS = 3;
const ITEMS_PER_PAGE = 2;
const LOSS_SHARE = 0.2;

/** One store whose time is counted in steps. */
class ModelStore {
  revision = 1;
  step = 0;
  readonly #changes: (FleetChange & { readonly step: number })[] = [];
  #historyAfter = 0;

  /** Writes or deletes one of the keys. */
  change(random: Random): void {
    this.revision++;
    const written = targetChange(this.revision, { id: `id-${randomIndex(random, KEYS)}` });
    const isDeletion = random.next() < 0.3;
    const change = isDeletion ? { key: written.key, revision: this.revision } : written;
    this.#changes.push({ ...change, step: this.step });
  }

  forgetHistory(): void {
    this.#historyAfter = this.revision;
  }

  /** Latest change of each key, deletions included, up to a revision. */
  latest(revision = Infinity): Map<string, FleetChange> {
    const changes = this.#changes.filter((change) => change.revision <= revision);
    return new Map(changes.map((change) => [change.key, change]));
  }

  /** Revision that the store had at a step. */
  revisionAt(step: number): number {
    return this.#changes.filter((change) => change.step < step).at(-1)?.revision ?? 1;
  }

  page(after: string): FleetChange[] {
    return [...this.latest().values()]
      .filter(({ key, record }) => record !== undefined && key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1))
      .slice(0, ITEMS_PER_PAGE)
      .map(({ key, revision, record }) => ({ key, revision, record }));
  }

  /** Undefined if the history does not cover the revision. */
  watch(after: number): FleetChange[] | undefined {
    if (after < this.#historyAfter) {
      return undefined;
    }
    const changes = this.#changes.filter(({ revision }) => revision > after);
    return changes.map(({ key, revision, record }) => ({ key, revision, record }));
  }
}

interface Listing {
  readonly revision: number;
  readonly startedAt: number;
  readonly items: FleetChange[];
}

/** A confirmation as hosts pass it on. */
interface Confirmation {
  readonly lastChange: StorePosition;
  readonly at: number;
}

class Play {
  readonly store = new ModelStore();
  readonly views = Array.from({ length: VIEWS }, () => new FleetView());
  readonly #listings = new Map<FleetView, Listing>();
  /** Step at which the store last answered each view. */
  readonly #answeredAt = new Map<FleetView, number>();
  readonly #onTheWay: (() => void)[] = [];

  constructor(readonly random: Random) {}

  step(): void {
    this.store.step++;
    const [view, other] = [this.#anyView(), this.#anyView()];
    const actions = [
      () => {
        this.store.change(this.random);
      },
      () => {
        this.#list(view);
      },
      () => {
        this.#list(view);
      },
      () => {
        this.#watch(view);
      },
      () => {
        this.#fetch(view, other);
      },
      () => {
        this.#push(view, other);
      },
      () => {
        this.#confirm(view, other);
      },
      () => {
        this.#deliver();
      },
      () => {
        this.#deliver();
      },
    ];
    actions[randomIndex(this.random, actions.length)]?.();
    if (this.random.next() < 0.02) {
      this.store.forgetHistory();
    }
  }

  /** Lets views exchange what they lack, and one of them watch the store. */
  settle(): void {
    const [watcher, ...others] = this.views;
    if (watcher === undefined) {
      return;
    }
    const changes = watcher.isEmpty ? undefined : this.store.watch(watcher.revision);
    if (changes === undefined) {
      const all = [...this.store.latest().values()].filter(({ record }) => record !== undefined);
      watcher.replace({ revision: this.store.revision }, all);
    } else {
      watcher.apply(this.#deltaOf(watcher.revision, this.store.revision, changes));
    }
    for (const view of others) {
      if (view.lastChange.revision < watcher.lastChange.revision || view.isEmpty) {
        this.#answer(watcher, view)();
      }
    }
  }

  #anyView(): FleetView {
    return this.views[randomIndex(this.random, VIEWS)] ?? new FleetView();
  }

  /** Reads the next page of a listing, and applies the listing after the last one. */
  #list(view: FleetView): void {
    const listing = this.#listings.get(view) ?? {
      revision: this.store.revision,
      startedAt: this.store.step,
      items: [],
    };
    const page = this.store.page(listing.items.at(-1)?.key ?? '');
    listing.items.push(...page);
    this.#listings.set(view, listing);
    if (page.length < ITEMS_PER_PAGE) {
      this.#listings.delete(view);
      view.replace({ revision: listing.revision }, listing.items);
      this.#recordAnswer(view, listing.startedAt);
    }
  }

  #watch(view: FleetView): void {
    const changes = view.isEmpty ? undefined : this.store.watch(view.revision);
    if (changes !== undefined) {
      const delta = this.#deltaOf(view.revision, this.store.revision, changes);
      const answeredAt = this.store.step;
      this.#send(() => {
        view.apply(delta);
        this.#recordAnswer(view, answeredAt);
      });
    }
  }

  #recordAnswer(view: FleetView, step: number): void {
    view.confirm(view.lastChange, { at: step, source: 'store' });
    this.#answeredAt.set(view, Math.max(step, this.#answeredAt.get(view) ?? -Infinity));
  }

  #deltaOf(afterRevision: number, revision: number, changes: readonly FleetChange[]) {
    return { afterRevision, revision, changes };
  }

  #fetch(view: FleetView, peer: FleetView): void {
    if (!peer.isEmpty) {
      this.#send(this.#answer(peer, view));
    }
  }

  /** What a peer answers now; the result applies it. */
  #answer(peer: FleetView, view: FleetView): () => void {
    const delta = view.isEmpty ? undefined : peer.deltaSince(view.position);
    const snapshot = peer.snapshot();
    return () => {
      if (delta === undefined) {
        const { revision, changes, lastChange = revision } = snapshot;
        view.replace({ revision }, changes, { revision: lastChange });
      } else {
        view.apply(delta);
      }
    };
  }

  /** Changes that a peer sends unasked, from a position that may be another view's. */
  #push(view: FleetView, peer: FleetView): void {
    const delta = peer.isEmpty ? undefined : peer.deltaSince(this.#anyView().position);
    if (delta !== undefined) {
      this.#send(() => {
        view.apply(delta);
      });
    }
  }

  #confirm(view: FleetView, peer: FleetView): void {
    const at = this.#answeredAt.get(peer);
    if (at !== undefined) {
      const confirmation: Confirmation = { lastChange: peer.lastChange, at };
      this.#send(() => {
        view.confirm(confirmation.lastChange, { at, source: 'peer' });
      });
    }
  }

  #send(apply: () => void): void {
    if (this.random.next() >= LOSS_SHARE) {
      this.#onTheWay.push(apply);
    }
  }

  #deliver(): void {
    const [apply] = this.#onTheWay.splice(randomIndex(this.random, this.#onTheWay.length || 1), 1);
    apply?.();
  }
}

/** Keys of which a view lacks a change up to a revision. */
function lackedKeys(view: FleetView, store: ModelStore, revision: number): string[] {
  const held = new Map(view.entries.map((change) => [change.key, change.revision]));
  return [...store.latest(revision).values()]
    .filter(({ key, revision: wanted, record }) =>
      record === undefined
        ? // A deletion is lacked if an older record is still there.
          (held.get(key) ?? Infinity) < wanted
        : (held.get(key) ?? 0) < wanted && !isDeletedLater(store, key, wanted),
    )
    .map(({ key }) => key);
}

/** A view that already knows a later deletion no longer holds the record. */
function isDeletedLater(store: ModelStore, key: string, revision: number): boolean {
  const latest = store.latest().get(key);
  return latest !== undefined && latest.revision > revision;
}

/** Plays one seed and checks every claim after each step, and the content at the end. */
function play(seed: number): void {
  const played = new Play(new SeededRandom(seed));
  const { store, views } = played;
  for (let step = 0; step < STEPS; step++) {
    played.step();
    for (const view of views) {
      const claims = {
        position: view.revision,
        newestChange: view.lastChange.revision,
        confirmation: store.revisionAt(view.confirmedAt),
      };
      for (const [claim, revision] of Object.entries(claims)) {
        const lacks = lackedKeys(view, store, revision);
        if (lacks.length > 0) {
          expect.fail(`seed ${seed}, step ${step}: ${claim} claims ${lacks.join(', ')}`);
        }
      }
    }
  }
  played.settle();
  const wanted = [...store.latest().values()].filter(({ record }) => record !== undefined);
  for (const view of views) {
    expect({ seed, content: revisions(view.entries) }).toEqual({
      seed,
      content: revisions(wanted),
    });
  }
}

function revisions(changes: readonly FleetChange[]): Record<string, number> {
  return Object.fromEntries(changes.map(({ key, revision }) => [key, revision]));
}

describe('updates in any order', () => {
  it.each([1, 101, 201])(
    'leave no view without a change that it claims, seeds from %i',
    (first) => {
      for (let seed = first; seed < first + SEEDS_PER_TEST; seed++) {
        play(seed);
      }
    },
  );
});
