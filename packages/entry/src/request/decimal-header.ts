/** Every value of a header that was given once, several times, or as a list. */
export function headerValues(header: string | string[] | undefined): string[] {
  if (header === undefined) {
    return [];
  }
  return [header].flat().flatMap((part) => part.split(',').map((value) => value.trim()));
}

/**
 * Reads a header of decimal numbers that are not negative, of which one is to hold where several are given.
 *
 * @returns undefined where there is no header, NaN where none of its values can be read
 */
export function parseDecimalHeader(
  header: string | string[] | undefined,
  choose: (...values: number[]) => number,
): number | undefined {
  if (header === undefined) {
    return undefined;
  }
  const values = headerValues(header).map(decimalNumber);
  const readable = values.filter((value) => !Number.isNaN(value));
  return readable.length === 0 ? Number.NaN : choose(...readable);
}

/** NaN where it is none, or is negative. */
function decimalNumber(value: string): number {
  return /^\d+(\.\d+)?$/.test(value) ? Number(value) : Number.NaN;
}
