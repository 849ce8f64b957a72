/** Checks updates from several epochs of the store in any order. */
import { randomIndex, SeededRandom } from '@ferrylock/utils';
import type { Random } from '@ferrylock/utils';
import { describe, expect, it } from 'vitest';
import type { FleetChange, FleetRecord } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import type { StoreRestore } from '../../src/fleet/store-restore.js';
import type { StorePosition } from '../../src/fleet/store-position.js';
import { configurationChange, hostChange, targetChange } from '../fixtures.js';

/** The last ones cover orders that the first ones do not. */
const SEEDS = [...Array.from({ length: 200 }, (_, index) => index + 1), 891, 1059, 2064, 2262];
const STEPS = 120;

function at(epoch: number, change: FleetChange): FleetChange {
  return { ...change, epoch };
}

function versionOf(view: FleetView): number | undefined {
  return view.records('configuration')[0]?.configuration.version;
}

/** Content of the snapshot. */
const LISTED = [
  configurationChange(3, { version: 3 }),
  targetChange(2, { bornAt: 1, sequence: 1 }),
  hostChange(1, { name: 'old' }),
];

/** A view that knew version 4 when the store was restored with version 3. */
function makeRestored() {
  const view = new FleetView();
  const restores: StoreRestore[] = [];
  view.onRestore((restore) => restores.push(restore));
  view.replace(
    { epoch: 1, revision: 3 },
    LISTED.map((change) => at(1, change)),
  );
  view.apply({
    afterEpoch: 1,
    afterRevision: 3,
    epoch: 1,
    revision: 9,
    changes: [
      at(1, configurationChange(7, { version: 4 })),
      at(1, targetChange(8, { bornAt: 1, state: 'draining', sequence: 9 })),
      at(1, hostChange(9, { name: 'new' })),
    ],
  });
  view.replace(
    { epoch: 2, revision: 5 },
    LISTED.map((change) => at(2, change)),
  );
  return { view, restores };
}

function hostNames(view: FleetView): string[] {
  return view.records('entryHost').map(({ host }) => host.name);
}

/** Updates one view from another as a call between hosts does. */
function syncFrom(from: FleetView, to: FleetView): void {
  const isFurther = to.epoch > from.epoch;
  const delta = isFurther || to.isEmpty ? undefined : from.deltaSince(to.position);
  if (delta === undefined) {
    const snapshot = from.snapshot();
    to.replace({ epoch: snapshot.epoch, revision: snapshot.revision }, snapshot.changes);
  } else {
    to.apply(delta);
  }
}

describe('FleetView of a restored store', () => {
  it('enters the next epoch although its revisions are lower', () => {
    const { view, restores } = makeRestored();
    expect(view.position).toEqual({ epoch: 2, revision: 5 });
    view.apply({
      afterEpoch: 2,
      afterRevision: 5,
      epoch: 2,
      revision: 6,
      changes: [at(2, configurationChange(6, { version: 5 }))],
    });
    expect(versionOf(view)).toBe(5);
    expect(restores).toMatchObject([
      {
        previous: { epoch: 1, revision: 9 },
        position: { epoch: 2, revision: 5 },
        retained: ['configuration', 'targets/target-1', 'hosts/new'],
        missing: ['hosts/new'],
      },
    ]);
  });

  it('retains records with newer versions and lost hosts until they are rewritten or the grace period ends', () => {
    const { view } = makeRestored();
    expect(versionOf(view)).toBe(4);
    expect(view.records('target')[0]?.target.state).toBe('draining');
    expect(hostNames(view)).toEqual(['old', 'new']);
    const mark = view.retainedDigest;
    expect(mark).toBeDefined();
    const written = [
      at(2, configurationChange(6, { version: 4 })),
      at(2, targetChange(7, { bornAt: 1, state: 'draining', sequence: 10 })),
    ];
    view.apply({
      afterEpoch: 2,
      afterRevision: 5,
      epoch: 2,
      revision: 7,
      changes: written,
    });
    expect(view.retained.map(({ key }) => key)).toEqual(['hosts/new']);
    expect(view.retainedDigest).not.toBe(mark);
    view.reconcile();
    expect(hostNames(view)).toEqual(['old']);
    expect([versionOf(view), view.retainedDigest]).toEqual([4, undefined]);
  });

  it('never drops a configuration that is not rewritten', () => {
    const { view } = makeRestored();
    view.reconcile();
    view.replace({ epoch: 2, revision: 8 }, [at(2, configurationChange(3, { version: 3 }))]);
    expect(versionOf(view)).toBe(4);
    view.replace({ epoch: 3, revision: 2 }, []);
    view.reconcile();
    expect(versionOf(view)).toBe(4);
  });

  it('applies only records with newer versions from a past epoch', () => {
    const { view } = makeRestored();
    view.apply({
      afterEpoch: 1,
      afterRevision: 8,
      epoch: 1,
      revision: 12,
      changes: [
        at(1, configurationChange(10, { version: 5 })),
        at(1, hostChange(11, { name: 'late' })),
        at(1, { key: 'hosts/old', revision: 12 }),
      ],
    });
    expect(view.position).toEqual({ epoch: 2, revision: 5 });
    expect(versionOf(view)).toBe(5);
    expect(hostNames(view)).toEqual(['old', 'new']);
  });

  it('ignores records that a listing restores after their deletion, until the grace period ends', () => {
    const view = new FleetView();
    view.replace({ epoch: 1, revision: 3 }, [
      at(1, targetChange(2)),
      at(1, hostChange(3, { name: 'left' })),
    ]);
    const deletions = [
      { key: 'targets/target-1', epoch: 1, revision: 6 },
      { key: 'hosts/left', epoch: 1, revision: 7 },
    ];
    view.apply({ afterEpoch: 1, afterRevision: 3, epoch: 1, revision: 7, changes: deletions });
    view.replace({ epoch: 2, revision: 4 }, [
      at(2, targetChange(2)),
      at(2, hostChange(3, { name: 'left' })),
    ]);
    expect([view.records('target'), hostNames(view)]).toEqual([[], []]);
    view.apply({
      afterEpoch: 2,
      afterRevision: 4,
      epoch: 2,
      revision: 5,
      changes: [{ key: 'targets/target-1', epoch: 2, revision: 5 }],
    });
    view.reconcile();
    expect([view.records('target'), hostNames(view)]).toEqual([[], ['left']]);
  });

  it('applies a new incarnation of a listed host, but not a previous one', () => {
    const view = new FleetView();
    view.replace({ epoch: 1, revision: 3 }, [at(1, hostChange(3, { incarnation: 'first' }))]);
    const second = at(1, hostChange(5, { incarnation: 'second' }));
    view.apply({ afterEpoch: 1, afterRevision: 3, epoch: 1, revision: 5, changes: [second] });
    view.replace({ epoch: 2, revision: 4 }, [at(2, hostChange(3, { incarnation: 'first' }))]);
    expect(view.records('entryHost')[0]?.host.incarnation).toBe('second');
    view.replace({ epoch: 3, revision: 4 }, [at(3, hostChange(4, { incarnation: 'third' }))]);
    expect(view.records('entryHost')[0]?.host.incarnation).toBe('third');
  });

  it('provides a delta to views that knew less of the previous epoch, and none to those that knew more', () => {
    const { view } = makeRestored();
    const other = new FleetView();
    other.replace(
      { epoch: 1, revision: 3 },
      LISTED.map((change) => at(1, change)),
    );
    expect(view.deltaSince({ epoch: 1, revision: 12 })).toBeUndefined();
    expect(view.deltaSince({ epoch: 1, revision: 9 })?.changes.length).toBeGreaterThan(0);
    syncFrom(view, other);
    expect([versionOf(other), other.position]).toEqual([4, view.position]);
    expect(other.lastChange).toEqual(view.lastChange);
    expect(hostNames(other).sort()).toEqual(hostNames(view).sort());
  });
});

/** A store with several writers that is restored from snapshots. */
class RestoredStore {
  position = { epoch: 1, revision: 1 };
  entries = new Map<string, FleetChange>();
  history: FleetChange[] = [];
  version = 1;
  #saved: { revision: number; entries: Map<string, FleetChange>; history: FleetChange[] }[] = [];

  constructor(readonly random: Random) {
    this.#write('configuration', configurationChange(0, { version: 1 }).record);
  }

  act(): void {
    const key = `target-${randomIndex(this.random, 4)}`;
    const name = `host-${randomIndex(this.random, 3)}`;
    const sequence = this.position.epoch * 1_000 + this.position.revision;
    const incarnation = `start-${sequence}`;
    const acts: readonly (() => void)[] = [
      () => {
        this.version++;
        this.writeConfiguration();
      },
      () => {
        this.#write(`targets/${key}`, targetChange(0, { id: key, bornAt: 1, sequence }).record);
      },
      () => {
        this.#write(`targets/${key}`);
      },
      () => {
        this.#write(`hosts/${name}`, hostChange(0, { name, incarnation }).record);
      },
      () => {
        this.#write(`hosts/${name}`);
      },
      () => {
        const { revision } = this.position;
        this.#saved.push({ revision, entries: new Map(this.entries), history: [...this.history] });
      },
    ];
    acts[randomIndex(this.random, acts.length)]?.();
  }

  /** Has the operator and the live targets rewrite their records. */
  rewrite(): void {
    this.writeConfiguration();
    for (const { record } of [...this.entries.values()]) {
      if (record?.kind === 'target') {
        const sequence = this.position.epoch * 1_000 + this.position.revision;
        const target = { ...record.target, sequence };
        this.#write(`targets/${target.id}`, { kind: 'target', target });
      }
    }
  }

  writeConfiguration(): void {
    this.#write('configuration', configurationChange(0, { version: this.version }).record);
  }

  restore(): void {
    const snapshot = this.#saved.pop();
    if (snapshot !== undefined) {
      this.position = { epoch: this.position.epoch + 1, revision: snapshot.revision };
      this.entries = snapshot.entries;
      this.history = snapshot.history;
      this.#saved = [];
    }
  }

  list(): FleetChange[] {
    return [...this.entries.values()].map((change) => at(this.position.epoch, change));
  }

  /** Updates a view by changes, or by a listing if its position is not valid in this store. */
  update(view: FleetView): void {
    const { epoch, revision } = view.position;
    const isKnown = epoch === this.position.epoch && revision <= this.position.revision;
    if (view.isEmpty || !isKnown) {
      view.replace(this.position, this.list());
      return;
    }
    const changes = this.history.filter((change) => change.revision > revision);
    view.apply({
      afterEpoch: epoch,
      afterRevision: revision,
      ...this.position,
      changes: changes.map((change) => at(this.position.epoch, change)),
    });
  }

  #write(key: string, record?: FleetRecord): void {
    if (record === undefined && !this.entries.has(key)) {
      return;
    }
    this.position.revision++;
    const change = { key, revision: this.position.revision, ...(record && { record }) };
    if (record === undefined) {
      this.entries.delete(key);
    } else {
      this.entries.set(key, change);
    }
    this.history.push(change);
  }
}

function contentOf(entries: readonly FleetChange[]): string[] {
  return entries.map(({ key, record }) => `${key} ${JSON.stringify(record)}`).sort();
}

describe('views that learn of restores in any order', () => {
  it.each(SEEDS)(
    'never revert to an older configuration and converge to the store once records are rewritten (seed %i)',
    (seed) => {
      const random = new SeededRandom(seed);
      const store = new RestoredStore(random);
      const views = Array.from({ length: 4 }, () => new FleetView());
      const pick = (): FleetView => views[randomIndex(random, views.length)] ?? new FleetView();
      const newest = views.map(() => 0);
      const furthest: StorePosition[] = views.map((view) => view.position);
      for (let step = 0; step < STEPS; step++) {
        const chance = random.next();
        if (chance < 0.4) {
          store.act();
        } else if (chance < 0.43) {
          store.restore();
        } else if (chance < 0.7) {
          store.update(pick());
        } else {
          syncFrom(pick(), pick());
        }
        views.forEach((view, index) => {
          const version = versionOf(view) ?? 0;
          expect(version).toBeGreaterThanOrEqual(newest[index] ?? 0);
          newest[index] = version;
          expect(view.position.epoch).toBeGreaterThanOrEqual(furthest[index]?.epoch ?? 0);
          furthest[index] = view.position;
        });
      }
      store.rewrite();
      for (const view of views) {
        store.update(view);
        view.reconcile();
        expect(contentOf(view.entries)).toEqual(contentOf(store.list()));
      }
    },
  );
});
