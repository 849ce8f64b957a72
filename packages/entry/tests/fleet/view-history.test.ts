import { describe, expect, it } from 'vitest';
import { ViewHistory } from '../../src/fleet/view-history.js';
import { configurationChange, targetChange } from '../fixtures.js';

const MAX_CHANGES = 2_000;

describe('ViewHistory', () => {
  it('keeps the latest change of a key, in whatever order they come', () => {
    const history = new ViewHistory();
    for (const revision of [3, 9, 5]) {
      history.add(configurationChange(revision));
    }
    expect(history.since({ revision: 1 }, 0)?.map(({ revision }) => revision)).toEqual([9]);
    expect(history.since({ revision: 9 }, 0)).toEqual([]);
  });

  it('covers no position before a change that it has discarded', () => {
    const history = new ViewHistory();
    for (let revision = 1; revision <= MAX_CHANGES + 1; revision++) {
      history.add(targetChange(revision, { id: `id-${revision}` }));
    }
    expect(history.since({ revision: 0 }, 0)).toBeUndefined();
    expect(history.since({ revision: 1 }, 0)).toHaveLength(MAX_CHANGES);
  });

  it('discards nothing for changes of one key', () => {
    const history = new ViewHistory();
    history.add(targetChange(1));
    for (let revision = 2; revision <= 2 * MAX_CHANGES; revision++) {
      history.add(configurationChange(revision));
    }
    expect(history.since({ revision: 0 }, 0)).toHaveLength(2);
  });
});
