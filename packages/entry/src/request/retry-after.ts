import { parseDecimalHeader } from './decimal-header.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Reads how long a target wants nothing, as `Retry-After` tells it (RFC 9110, 10.2.3): seconds, fractions too; the
 * longest where it is given twice. A date is not read, since clocks differ.
 *
 * @returns milliseconds; undefined where there is no header, NaN where none of its values can be read
 */
export function parseRetryAfter(header: string | string[] | undefined): number | undefined {
  const seconds = parseDecimalHeader(header, Math.max);
  return seconds === undefined ? undefined : seconds * MILLISECONDS_PER_SECOND;
}
