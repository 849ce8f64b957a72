import { describe, expect, it } from 'vitest';
import type { FleetChange } from '../../src/index.js';
import { FleetView } from '../../src/index.js';
import { configurationChange, hostChange, targetChange } from '../fixtures.js';

function gone(key: string, revision: number): FleetChange {
  return { key, revision };
}

function idsIn(view: FleetView): string[] {
  return view.records('target').map(({ target }) => target.id);
}

describe('FleetView', () => {
  it('takes changes on in whatever order they come, and never goes back', () => {
    const view = new FleetView();
    const newer = configurationChange(9, { version: 9 });
    const older = configurationChange(5, { version: 5 });
    view.apply({ afterRevision: 0, revision: 9, changes: [newer] });
    view.apply({ afterRevision: 0, revision: 5, changes: [older] });
    expect(view.records('configuration')[0]?.configuration.version).toBe(9);
    expect(view.revision).toBe(9);
  });

  it('refuses changes after a revision that it has not reached', () => {
    const view = new FleetView();
    view.replace({ revision: 4 }, []);
    const isTaken = view.apply({ afterRevision: 6, revision: 7, changes: [targetChange(7)] });
    expect(isTaken).toBe(false);
    expect(idsIn(view)).toEqual([]);
  });

  it('does not bring back what was removed later', () => {
    const view = new FleetView();
    view.apply({ afterRevision: 0, revision: 3, changes: [targetChange(3)] });
    view.apply({ afterRevision: 3, revision: 5, changes: [gone('targets/target-1', 5)] });
    view.apply({ afterRevision: 0, revision: 3, changes: [targetChange(3)] });
    expect(idsIn(view)).toEqual([]);
  });

  it('takes what a listing lacks as gone, but for what is newer than the listing', () => {
    const view = new FleetView();
    view.apply({
      afterRevision: 0,
      revision: 6,
      changes: [targetChange(2, { id: 'old' }), targetChange(6, { id: 'new' })],
    });
    view.replace({ revision: 6 }, [targetChange(6, { id: 'new' })]);
    expect(idsIn(view)).toEqual(['new']);
  });

  it('claims no change that a listing does not cover', () => {
    const view = new FleetView();
    view.apply({ afterRevision: 0, revision: 6, changes: [targetChange(6)] });
    view.replace({ revision: 6 }, []);
    expect(view.lastChange).toEqual({ epoch: 0, revision: 6 });
    const delta = { afterRevision: 6, revision: 7, changes: [targetChange(7, { id: 'new' })] };
    expect(view.apply(delta)).toBe(true);
    expect(idsIn(view)).toEqual(['new']);
  });

  it('hands on what it found gone to those who knew it', () => {
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
    expect(idsIn(other)).toEqual([]);
  });

  it('ignores a listing that is older than what it knows', () => {
    const view = new FleetView();
    view.replace({ revision: 8 }, [targetChange(8)]);
    view.replace({ revision: 7 }, []);
    expect(idsIn(view)).toEqual(['target-1']);
  });

  it('hands out what leads from one revision to its own', () => {
    const view = new FleetView();
    view.replace({ revision: 2 }, [targetChange(1)]);
    view.apply({ afterRevision: 2, revision: 4, changes: [targetChange(4, { id: 'target-2' })] });
    const other = new FleetView();
    other.replace({ revision: 2 }, [targetChange(1)]);
    const delta = view.deltaSince({ revision: 2 });
    expect(delta?.changes).toHaveLength(1);
    expect(delta !== undefined && other.apply(delta)).toBe(true);
    expect(idsIn(other)).toEqual(idsIn(view));
    expect(view.deltaSince({ revision: 1 })).toBeUndefined();
  });

  it('is confirmed only by who knows its newest change', () => {
    const view = new FleetView();
    view.replace({ revision: 5 }, [hostChange(5)]);
    view.confirm({ revision: 4 }, 100);
    expect(view.confirmedAt).toBe(-Infinity);
    view.confirm({ revision: 5 }, 100);
    view.confirm({ revision: 5 }, 50);
    expect(view.confirmedAt).toBe(100);
  });

  it('tells listeners only what is new', () => {
    const view = new FleetView();
    const told: string[][] = [];
    view.onChanges((changes) => told.push(changes.map(({ key }) => key)));
    view.replace({ revision: 2 }, [targetChange(1)]);
    view.apply({ afterRevision: 0, revision: 2, changes: [targetChange(1)] });
    view.replace({ revision: 3 }, []);
    expect(told).toEqual([['targets/target-1'], ['targets/target-1']]);
  });
});
