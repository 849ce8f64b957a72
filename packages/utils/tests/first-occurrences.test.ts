import { describe, expect, it } from 'vitest';
import { FirstOccurrences } from '../src/index.js';

describe('FirstMentions', () => {
  it('tells each name once, shortened, and of no more than 32', () => {
    const mentions = new FirstOccurrences();
    expect(mentions.add('one')).toBe('one');
    expect(mentions.add('one')).toBeUndefined();
    expect(mentions.add('x'.repeat(100))).toBe('x'.repeat(64));
    const later = Array.from({ length: 100 }, (_, index) => mentions.add(`name-${index}`));
    expect(later.filter((name) => name !== undefined)).toHaveLength(30);
  });
});
