import { describe, expect, it } from 'vitest';
import { describeParseError } from '../src/index.js';

function failureOf(text: string): string {
  try {
    JSON.parse(text);
    return 'read';
  } catch (error) {
    return describeParseError(error);
  }
}

describe('parseFailure', () => {
  it.each(['{"keys":["secret-1","sec', '{"keys":[secret-1]}', '["secret-1"'])(
    'quotes nothing of %s',
    (text) => {
      expect(failureOf(text)).toBe('no whole JSON');
    },
  );

  it('passes on what else went wrong', () => {
    expect(describeParseError(new RangeError('out of range'))).toBe('RangeError: out of range');
  });
});
