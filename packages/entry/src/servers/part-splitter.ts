/** Bytes of a part; in pieces of one byte they hold some hundred of them. */
const MAX_PART_BYTES = 2 * 1024;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Ends of heads and of chunked bodies, with the line end before them. */
const BLANK_LINES = [Buffer.from('\n\r\n'), Buffer.from('\n\n')] as const;

/** Divides what a connection sends at its blank lines, so that a part ends at most one head. */
export class PartSplitter {
  /** Whether the last part ended with a line, or with the first byte of a blank line behind it. */
  #end: 'within-line' | 'line-end' | 'half-blank-line' = 'within-line';

  /** Length of the next part of what was sent; {@link record} must have got all parts before it. */
  lengthOf(bytes: Buffer): number {
    const rest = this.#blankLineRest(bytes);
    if (rest > 0) {
      return rest;
    }
    const most = bytes.length > MAX_PART_BYTES ? bytes.subarray(0, MAX_PART_BYTES) : bytes;
    const ends = BLANK_LINES.map((line) => {
      const index = most.indexOf(line);
      return index < 0 ? most.length : index + line.length;
    });
    return Math.min(...ends);
  }

  record(part: Buffer): void {
    const last = part.at(-1);
    const isBehindLine = part.length > 1 ? part.at(-2) === LINE_FEED : this.#end === 'line-end';
    if (last === LINE_FEED) {
      this.#end = 'line-end';
    } else {
      this.#end = last === CARRIAGE_RETURN && isBehindLine ? 'half-blank-line' : 'within-line';
    }
  }

  /** Length of the rest of a blank line that began in the part before; 0 if there is none. */
  #blankLineRest(bytes: Buffer): number {
    if (this.#end === 'within-line') {
      return 0;
    }
    if (bytes[0] === LINE_FEED) {
      return 1;
    }
    const isWhole = bytes[0] === CARRIAGE_RETURN && bytes[1] === LINE_FEED;
    return this.#end === 'line-end' && isWhole ? 2 : 0;
  }
}
