import { describe, expect, it } from 'vitest';
import type { FleetChange } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import { configurationChange, hostChange, targetChange } from '../fixtures.js';

function deletion(key: string, revision: number): FleetChange {
  return { key, revision };
}

function targetIds(view: FleetView): string[] {
  return view.records('target').map(({ target }) => target.id);
}

describe('FleetView', () => {
  it('applies changes in any order and never reverts to an older one', () => {
    const view = new FleetView();
    const newer = configurationChange(9, { version: 9 });
    const older = configurationChange(5, { version: 5 });
    view.apply({ afterRevision: 0, revision: 9, changes: [newer] });
    view.apply({ afterRevision: 0, revision: 5, changes: [older] });
    expect(view.records('configuration')[0]?.configuration.version).toBe(9);
    expect(view.revision).toBe(9);
  });

  it('refuses a delta that starts after its revision', () => {
    const view = new FleetView();
    view.replace({ revision: 4 }, []);
    const isApplied = view.apply({ afterRevision: 6, revision: 7, changes: [targetChange(7)] });
    expect(isApplied).toBe(false);
    expect(targetIds(view)).toEqual([]);
  });

  it('does not restore a record that was deleted later', () => {
    const view = new FleetView();
    view.apply({ afterRevision: 0, revision: 3, changes: [targetChange(3)] });
    view.apply({ afterRevision: 3, revision: 5, changes: [deletion('targets/target-1', 5)] });
    view.apply({ afterRevision: 0, revision: 3, changes: [targetChange(3)] });
    expect(targetIds(view)).toEqual([]);
  });

  // Guards against requests to a target that is gone, by a record that was on its way meanwhile.
  it('does not restore a record that a listing lacks, from a delta that ends before it', () => {
    const view = new FleetView();
    view.replace({ revision: 2 }, []);
    view.replace({ revision: 5 }, []);
    view.apply({ afterRevision: 2, revision: 3, changes: [targetChange(3)] });
    expect(targetIds(view)).toEqual([]);
  });

  it('deletes records that a listing lacks, except for newer ones', () => {
    const view = new FleetView();
    view.apply({
      afterRevision: 0,
      revision: 6,
      changes: [targetChange(2, { id: 'old' }), targetChange(6, { id: 'new' })],
    });
    view.replace({ revision: 6 }, [targetChange(6, { id: 'new' })]);
    expect(targetIds(view)).toEqual(['new']);
  });

  it('does not advance its last change beyond a listing', () => {
    const view = new FleetView();
    view.apply({ afterRevision: 0, revision: 6, changes: [targetChange(6)] });
    view.replace({ revision: 6 }, []);
    expect(view.lastChange).toEqual({ epoch: 0, revision: 6 });
    const delta = { afterRevision: 6, revision: 7, changes: [targetChange(7, { id: 'new' })] };
    expect(view.apply(delta)).toBe(true);
    expect(targetIds(view)).toEqual(['new']);
  });

  it('propagates deletions that it found in a listing', () => {
    const view = new FleetView();
    view.replace({ revision: 3 }, [targetChange(2)]);
    const other = new FleetView();
    other.replace({ revision: 3 }, [targetChange(2)]);
    view.replace({ revision: 9 }, []);
    const delta = view.deltaSince(other.lastChange);
    if (delta === undefined) {
      other.replace(view.position, view.entries);
    } else {
      other.apply(delta);
    }
    expect(targetIds(other)).toEqual([]);
  });

  it('ignores an outdated listing', () => {
    const view = new FleetView();
    view.replace({ revision: 8 }, [targetChange(8)]);
    view.replace({ revision: 7 }, []);
    expect(targetIds(view)).toEqual(['target-1']);
  });

  it('provides the delta between a revision and its own', () => {
    const view = new FleetView();
    view.replace({ revision: 2 }, [targetChange(1)]);
    view.apply({ afterRevision: 2, revision: 4, changes: [targetChange(4, { id: 'target-2' })] });
    const other = new FleetView();
    other.replace({ revision: 2 }, [targetChange(1)]);
    const delta = view.deltaSince({ revision: 2 });
    expect(delta?.changes).toHaveLength(1);
    expect(delta !== undefined && other.apply(delta)).toBe(true);
    expect(targetIds(other)).toEqual(targetIds(view));
    expect(view.deltaSince({ revision: 1 })).toBeUndefined();
  });

  it('is confirmed only of changes that it has, and never goes back', () => {
    const view = new FleetView();
    view.replace({ revision: 5 }, [hostChange(5)]);
    view.confirm({ revision: 6 }, { at: 100, source: 'store' });
    view.confirm({ epoch: 1, revision: 5 }, { at: 100, source: 'store' });
    expect(view.confirmedAt).toBe(-Infinity);
    view.confirm({ revision: 4 }, { at: 100, source: 'store' });
    expect(view.confirmedAt).toBe(100);
    view.confirm({ revision: 5 }, { at: 50, source: 'store' });
    expect(view.confirmedAt).toBe(100);
  });

  // Guards against a host that takes itself for up to date and does not ask the store.
  it('is not confirmed by a confirmation of a change that it lacks', () => {
    const view = new FleetView();
    view.replace({ revision: 4 }, [hostChange(4)]);
    view.confirm({ revision: 5 }, { at: 100, source: 'host-2' });
    expect(view.confirmedAt).toBe(-Infinity);
  });

  // Guards against a host that keeps a target which is gone, and is told that it is up to date.
  it('is not confirmed by a listing that lacks a record which it still has', () => {
    const view = new FleetView();
    view.replace({ revision: 5 }, [targetChange(5)]);
    const lister = new FleetView();
    lister.replace({ revision: 6 }, []);
    view.confirm(lister.lastChange, { at: 100, source: 'host-2' });
    expect(view.confirmedAt).toBe(-Infinity);
  });

  // Guards against hosts that stay without a change which its peers hold.
  it('passes on a change that fell between two pages of a listing', () => {
    const view = new FleetView();
    const peer = new FleetView();
    peer.replace({ revision: 100 }, []);
    const between = targetChange(101, { id: 'between' });
    view.replace({ revision: 100 }, [between]);
    view.apply({ afterRevision: 100, revision: 101, changes: [between] });
    const delta = view.deltaSince(peer.position);
    expect(delta !== undefined && peer.apply(delta)).toBe(true);
    expect(targetIds(peer)).toEqual(['between']);
  });

  // Guards against a host that lacks a change and neither asks peers nor the store for it.
  it('does not count a change of a later page as its newest while it may lack earlier ones', () => {
    const view = new FleetView();
    view.replace({ revision: 100 }, [targetChange(102, { id: 'later page' })]);
    expect(view.lastChange).toEqual({ epoch: 0, revision: 100 });
    const changes = [targetChange(101), targetChange(102, { id: 'later page' })];
    view.apply({ afterRevision: 100, revision: 102, changes });
    expect(view.lastChange).toEqual({ epoch: 0, revision: 102 });
  });

  // Guards against messages that grow with each change of one key.
  it('provides only the latest change of a key', () => {
    const view = new FleetView();
    view.replace({ revision: 2 }, []);
    for (let revision = 3; revision <= 9; revision++) {
      const changes = [configurationChange(revision, { version: revision })];
      view.apply({ afterRevision: revision - 1, revision, changes });
    }
    const changes = view.deltaSince({ revision: 2 })?.changes ?? [];
    expect(changes.map(({ revision }) => revision)).toEqual([9]);
  });

  it('notifies listeners only of new changes', () => {
    const view = new FleetView();
    const notified: string[][] = [];
    view.onChanges((changes) => notified.push(changes.map(({ key }) => key)));
    view.replace({ revision: 2 }, [targetChange(1)]);
    view.apply({ afterRevision: 0, revision: 2, changes: [targetChange(1)] });
    view.replace({ revision: 3 }, []);
    expect(notified).toEqual([['targets/target-1'], ['targets/target-1']]);
  });
});
