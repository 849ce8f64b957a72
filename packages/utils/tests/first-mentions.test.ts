import { describe, expect, it } from 'vitest';
import { FirstMentions } from '../src/index.js';

describe('FirstMentions', () => {
  it('tells each name once, shortened, and of no more than 32', () => {
    const mentions = new FirstMentions();
    expect(mentions.take('one')).toBe('one');
    expect(mentions.take('one')).toBeUndefined();
    expect(mentions.take('x'.repeat(100))).toBe('x'.repeat(64));
    const later = Array.from({ length: 100 }, (_, index) => mentions.take(`name-${index}`));
    expect(later.filter((name) => name !== undefined)).toHaveLength(30);
  });
});
