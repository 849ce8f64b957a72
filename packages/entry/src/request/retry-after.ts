import { parseDecimalHeader } from './decimal-header.js';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Parses a `Retry-After` header (RFC 9110, 10.2.3) in seconds, with fractions; the longest of
 * several values applies. Dates are invalid, because clocks differ.
 *
 * @returns milliseconds; undefined without a header, NaN if no value is valid
 */
export function parseRetryAfter(header: string | string[] | undefined): number | undefined {
  const seconds = parseDecimalHeader(header, Math.max);
  return seconds === undefined ? undefined : seconds * MILLISECONDS_PER_SECOND;
}
