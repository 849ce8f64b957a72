import { describe, expect, it } from 'vitest';
import { compareIncarnations, targetIdOf, incarnationId } from '../src/index.js';

describe('incarnation of a target', () => {
  it('is identified by its id and start time, or by its id alone', () => {
    expect(incarnationId({ id: 'i-7' })).toBe('i-7');
    expect(targetIdOf(incarnationId({ id: 'i-7', bornAt: 1_780_000_000_000 }))).toBe('i-7');
    expect(incarnationId({ id: 'i-7', bornAt: 1 })).not.toBe(
      incarnationId({ id: 'i-7', bornAt: 2 }),
    );
  });

  it.each([
    [1, 2, 'earlier'],
    [2, 1, 'later'],
    [1, 1, 'same'],
    [undefined, 1, 'same'],
    [1, undefined, 'later'],
  ] as const)('orders start time %s and start time %s as %s', (one, other, expected) => {
    expect(compareIncarnations({ id: 'a', bornAt: one }, { id: 'a', bornAt: other })).toBe(
      expected,
    );
  });
});
