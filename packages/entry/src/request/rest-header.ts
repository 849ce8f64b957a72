const MILLISECONDS_PER_SECOND = 1_000;

/** Every value of a header that was given once, several times, or as a list. */
export function headerValues(header: string | string[] | undefined): string[] {
  if (header === undefined) {
    return [];
  }
  return [header].flat().flatMap((part) => part.split(',').map((value) => value.trim()));
}

/**
 * Reads how long a target wants nothing, as `Retry-After` tells it (RFC 9110, 10.2.3): seconds, fractions too; the
 * longest where it is given twice. A date is not read, since clocks differ.
 *
 * @returns milliseconds; undefined where there is no header, NaN where none of its values can be read
 */
export function readRest(header: string | string[] | undefined): number | undefined {
  if (header === undefined) {
    return undefined;
  }
  const seconds = headerValues(header).map(decimalNumber);
  const readable = seconds.filter((value) => !Number.isNaN(value));
  return readable.length === 0 ? Number.NaN : Math.max(...readable) * MILLISECONDS_PER_SECOND;
}

/** NaN where it is none, or is negative. */
function decimalNumber(value: string): number {
  return /^\d+(\.\d+)?$/.test(value) ? Number(value) : Number.NaN;
}
