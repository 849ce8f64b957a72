import { describe, expect, it } from 'vitest';
import { parseRetryAfter } from '../../src/index.js';

describe('parseRetryAfter', () => {
  it.each([
    ['3', 3_000],
    ['0.25', 250],
    ['0', 0],
    ['2, 5', 5_000],
    [['2', 'soon'], 2_000],
    ['99999999999999999999', 1e23],
    ['-1', Number.NaN],
    ['soon', Number.NaN],
    ['', Number.NaN],
    ['Thu, 03 Dec 2026 03:42:51 GMT', Number.NaN],
    [undefined, undefined],
  ])('parses %j as %d ms', (header, milliseconds) => {
    expect(parseRetryAfter(header)).toEqual(milliseconds);
  });
});
