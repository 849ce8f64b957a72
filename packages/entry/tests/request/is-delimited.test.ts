import { expect, it } from 'vitest';
import { isDelimited } from '../../src/request/is-delimited.js';

it.each([
  [{ 'content-length': '5' }, true],
  [{ 'transfer-encoding': 'chunked' }, true],
  [{ 'transfer-encoding': 'gzip, Chunked' }, true],
  [{ 'transfer-encoding': 'identity' }, false],
  [{ 'transfer-encoding': 'chunked, gzip', 'content-length': '5' }, false],
  [{}, false],
])('tells of %j: %s', (headers, expected) => {
  expect(isDelimited(headers)).toBe(expected);
});
