/** Separators that do not occur in names of hosts or targets. */
const FIELD_END = '\t';
const ROW_END = '\n';

/**
 * Encodes rows of fields as text, which is much cheaper to validate than arrays of objects. Hosts
 * parse several digests per second.
 */
export function encodeRows(rows: readonly (readonly (string | number)[])[]): string {
  return rows.map((row) => row.join(FIELD_END)).join(ROW_END);
}

export function decodeRows(text: string): string[][] {
  return text === '' ? [] : text.split(ROW_END).map((row) => row.split(FIELD_END));
}
