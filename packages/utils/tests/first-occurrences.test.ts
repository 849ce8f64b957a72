import { describe, expect, it } from 'vitest';
import { FirstOccurrences } from '../src/index.js';

describe('FirstOccurrences', () => {
  it('returns each name once, truncated, up to 32 names', () => {
    const occurrences = new FirstOccurrences();
    expect(occurrences.add('one')).toBe('one');
    expect(occurrences.add('one')).toBeUndefined();
    expect(occurrences.add('x'.repeat(100))).toBe('x'.repeat(64));
    const later = Array.from({ length: 100 }, (_, index) => occurrences.add(`name-${index}`));
    expect(later.filter((name) => name !== undefined)).toHaveLength(30);
  });
});
