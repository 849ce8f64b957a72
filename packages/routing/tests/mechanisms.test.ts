import { describe, expect, it } from 'vitest';
import { parseDisabledMechanisms } from '../src/index.js';

describe('parseDisabledMechanisms', () => {
  it('parses comma-separated names and the empty string', () => {
    expect([...parseDisabledMechanisms('told-load,ejection').unwrap()]).toEqual([
      'told-load',
      'ejection',
    ]);
    expect([...parseDisabledMechanisms('').unwrap()]).toEqual([]);
  });

  it('lists the valid names when one is unknown', () => {
    const error = parseDisabledMechanisms('told-load,luck').unwrapErr();
    expect(error).toContain('"luck"');
    expect(error).toContain('keys-at-home');
  });
});
