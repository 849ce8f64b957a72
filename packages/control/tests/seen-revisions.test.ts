import { describe, expect, it } from 'vitest';
import { SeenRevisions } from '../src/seen-revisions.js';

function present(revision: number, revisions: Record<string, number>, storeId = 'store') {
  return { storeId, revision, revisions: new Map(Object.entries(revisions)) };
}

describe('SeenRevisions', () => {
  const seen = new SeenRevisions();
  seen.replace(present(5, { a: 2, b: 5 }));
  seen.record('a', 7);

  it.each([
    ['nothing was written since', present(7, { a: 7, b: 5 }), true],
    ['other writes followed', present(20, { a: 12, b: 5, c: 19 }), true],
    ['the store id differs', present(20, { a: 7, b: 5 }, 'other'), false],
    ['its revision is lower', present(6, { a: 2, b: 5 }), false],
    ['a key has an older revision', present(20, { a: 2, b: 5 }), false],
    ['a key was written at a reused revision', present(20, { a: 7, b: 6 }), false],
    ['a key is missing', present(20, { a: 7 }), false],
    ['an unknown key has a revision already seen', present(20, { a: 7, b: 5, c: 6 }), false],
  ])('detects if a store continues the history when %s', (_case, state, isContinued) => {
    expect(seen.isContinuedBy(state)).toBe(isContinued);
  });
});
