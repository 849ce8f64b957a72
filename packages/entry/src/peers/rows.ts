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

export function countRows(text: string): number {
  return text === '' ? 0 : text.split(ROW_END).length;
}

/** Rows that fit into a bound, and the number of those that do not. */
export interface FittedRows {
  readonly text: string;
  readonly omitted: number;
}

/** Largest number of bytes of one character of a string in JSON. */
const MAX_ESCAPED_BYTES = 6;
/** Bytes of the quotes around a string, and of an escaped {@link ROW_END}. */
const QUOTES_BYTES = 2;
const ROW_END_BYTES = 2;

/** Leaves out the last rows, as far as the text as a JSON string exceeds a bound. */
export function fitRows(text: string, maxBytes: number): FittedRows {
  if (text.length * MAX_ESCAPED_BYTES + QUOTES_BYTES <= maxBytes || jsonBytes(text) <= maxBytes) {
    return { text, omitted: 0 };
  }
  const rows = text.split(ROW_END);
  let bytes = QUOTES_BYTES;
  let count = 0;
  for (const row of rows) {
    bytes += jsonBytes(row) - QUOTES_BYTES + ROW_END_BYTES;
    if (bytes > maxBytes) {
      break;
    }
    count++;
  }
  return { text: rows.slice(0, count).join(ROW_END), omitted: rows.length - count };
}

function jsonBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text));
}
