import { describe, expect, it } from 'vitest';
import { parseLeftOut } from '../src/index.js';

describe('parseLeftOut', () => {
  it('reads names divided by commas, and none', () => {
    expect([...parseLeftOut('told-load,ejection').unwrap()]).toEqual(['told-load', 'ejection']);
    expect([...parseLeftOut('').unwrap()]).toEqual([]);
  });

  it('names what it expects where one is unknown', () => {
    const error = parseLeftOut('told-load,luck').unwrapErr();
    expect(error).toContain('"luck"');
    expect(error).toContain('keys-at-home');
  });
});
