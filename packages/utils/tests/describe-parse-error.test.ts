import { describe, expect, it } from 'vitest';
import { describeParseError } from '../src/index.js';

function describeErrorOf(text: string): string {
  try {
    JSON.parse(text);
    return 'parsed';
  } catch (error) {
    return describeParseError(error);
  }
}

describe('describeParseError', () => {
  it.each(['{"keys":["secret-1","sec', '{"keys":[secret-1]}', '["secret-1"'])(
    'does not quote the input %s',
    (text) => {
      expect(describeErrorOf(text)).toBe('invalid JSON');
    },
  );

  it('describes other errors by their own message', () => {
    expect(describeParseError(new RangeError('out of range'))).toBe('RangeError: out of range');
  });
});
