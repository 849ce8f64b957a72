/** Splits a header that is sent once, repeatedly or as a comma-separated list into its values. */
export function headerValues(header: string | string[] | undefined): string[] {
  if (header === undefined) {
    return [];
  }
  return [header].flat().flatMap((part) => part.split(',').map((value) => value.trim()));
}

/**
 * Parses a header of non-negative decimal numbers.
 *
 * @param choose - picks one of several valid values
 * @returns undefined without a header, NaN if no value is valid
 */
export function parseDecimalHeader(
  header: string | string[] | undefined,
  choose: (...values: number[]) => number,
): number | undefined {
  if (header === undefined) {
    return undefined;
  }
  const values = headerValues(header).map(parseDecimal);
  const valid = values.filter((value) => !Number.isNaN(value));
  return valid.length === 0 ? Number.NaN : choose(...valid);
}

function parseDecimal(value: string): number {
  return /^\d+(\.\d+)?$/.test(value) ? Number(value) : Number.NaN;
}
