import { describe, expect, it } from 'vitest';
import { parseDisabledMechanisms } from '../src/index.js';

describe('parseLeftOut', () => {
  it('reads names divided by commas, and none', () => {
    expect([...parseDisabledMechanisms('told-load,ejection').unwrap()]).toEqual([
      'told-load',
      'ejection',
    ]);
    expect([...parseDisabledMechanisms('').unwrap()]).toEqual([]);
  });

  it('names what it expects where one is unknown', () => {
    const error = parseDisabledMechanisms('told-load,luck').unwrapErr();
    expect(error).toContain('"luck"');
    expect(error).toContain('keys-at-home');
  });
});
