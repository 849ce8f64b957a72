/* eslint-disable @typescript-eslint/no-non-null-assertion -- indexes stay within bounds in these loops, the hottest of all */
import { parseClientBlock } from '@ferrylock/schema';
import type { ClientBlock } from '@ferrylock/schema';
import ipaddr from 'ipaddr.js';

/** A block of client addresses with the number of what it belongs to. */
export interface BlockEntry {
  readonly cidr: string;
  readonly value: number;
}

/** What a look-up gives where no block holds the address. */
export const NO_BLOCK = -1;

/** Length of the part of an IPv6 address that is looked at: blocks are not finer than networks. */
const IPV6_NETWORK_BITS = 64;
const WORD_RANGE = 0x1_0000_0000;

interface Interval {
  readonly start: bigint;
  readonly end: bigint;
  readonly value: number;
}

/**
 * Longest-prefix match over client blocks. Nested blocks are flattened once into disjoint ranges,
 * held in typed arrays and found by binary search: 8 bytes a range for IPv4, 12 for IPv6. A table
 * never changes; a new one takes its place whole.
 */
export class ClientBlockTable {
  readonly #starts4: Uint32Array;
  readonly #values4: Int32Array;
  readonly #starts6High: Uint32Array;
  readonly #starts6Low: Uint32Array;
  readonly #values6: Int32Array;

  constructor(entries: readonly BlockEntry[]) {
    const parsed = entries.flatMap((entry) => {
      const block = parseClientBlock(entry.cidr);
      return block.isOk() ? [{ block: block.value, value: entry.value }] : [];
    });
    const ranges4 = flatten(parsed.filter(({ block }) => block.version === 4).map(toInterval));
    const ranges6 = flatten(parsed.filter(({ block }) => block.version === 6).map(toInterval));
    this.#starts4 = Uint32Array.from(ranges4, (range) => Number(range.start));
    this.#values4 = Int32Array.from(ranges4, (range) => range.value);
    this.#starts6High = Uint32Array.from(ranges6, (range) => Number(range.start >> 32n));
    this.#starts6Low = Uint32Array.from(ranges6, (range) => Number(range.start & 0xffff_ffffn));
    this.#values6 = Int32Array.from(ranges6, (range) => range.value);
  }

  /** Memory that the table's arrays take. */
  get bytes(): number {
    return [
      this.#starts4,
      this.#values4,
      this.#starts6High,
      this.#starts6Low,
      this.#values6,
    ].reduce((sum, array) => sum + array.byteLength, 0);
  }

  /** The value of the narrowest block that holds the address, or {@link NO_BLOCK}. */
  find(address: string): number {
    const number4 = parseIpv4(address);
    if (number4 >= 0) {
      return this.findIpv4(number4);
    }
    if (!ipaddr.isValid(address)) {
      return NO_BLOCK;
    }
    const parsed = ipaddr.process(address);
    if (parsed.kind() === 'ipv4') {
      return this.findIpv4(parseIpv4(parsed.toString()));
    }
    const bytes = parsed.toByteArray();
    return this.#findIpv6(wordAt(bytes, 0), wordAt(bytes, 4));
  }

  /** Look-up by the 32-bit number of an IPv4 address. */
  findIpv4(address: number): number {
    const starts = this.#starts4;
    let low = 0;
    let high = starts.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (starts[middle]! <= address) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low === 0 ? NO_BLOCK : this.#values4[low - 1]!;
  }

  #findIpv6(high32: number, low32: number): number {
    const highs = this.#starts6High;
    const lows = this.#starts6Low;
    let low = 0;
    let high = highs.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const start = highs[middle]!;
      const atOrBefore = start < high32 || (start === high32 && lows[middle]! <= low32);
      if (atOrBefore) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low === 0 ? NO_BLOCK : this.#values6[low - 1]!;
  }
}

/** The number of a dotted IPv4 address, or -1 where the text is none. */
export function parseIpv4(text: string): number {
  let result = 0;
  let part = -1;
  let dots = 0;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    if (code >= 48 && code <= 57) {
      part = (part < 0 ? 0 : part * 10) + code - 48;
      if (part > 255) {
        return -1;
      }
    } else if (code === 46 && part >= 0 && dots < 3) {
      result = result * 256 + part;
      part = -1;
      dots++;
    } else {
      return -1;
    }
  }
  return dots === 3 && part >= 0 ? result * 256 + part : -1;
}

function wordAt(bytes: readonly number[], offset: number): number {
  let word = 0;
  for (let index = offset; index < offset + 4; index++) {
    word = word * 256 + (bytes[index] ?? 0);
  }
  return word;
}

function toInterval({ block, value }: { block: ClientBlock; value: number }): Interval {
  const bits = block.version === 4 ? 32 : IPV6_NETWORK_BITS;
  const prefixLength = Math.min(block.prefixLength, bits);
  const high = BigInt(wordAt(block.bytes, 0));
  const start =
    block.version === 4 ? high : high * BigInt(WORD_RANGE) + BigInt(wordAt(block.bytes, 4));
  const size = 1n << BigInt(bits - prefixLength);
  return { start, end: start + size, value };
}

/** Cuts nested intervals into disjoint ranges; each runs to the next one's start. */
function flatten(intervals: readonly Interval[]): { start: bigint; value: number }[] {
  const sorted = [...intervals].sort(
    (a, b) => compareBigInt(a.start, b.start) || compareBigInt(b.end, a.end),
  );
  const ranges: { start: bigint; value: number }[] = [];
  const open: Interval[] = [];
  const append = (start: bigint, value: number): void => {
    const last = ranges.at(-1);
    if (last?.start === start) {
      last.value = value;
    } else if (last?.value !== value) {
      ranges.push({ start, value });
    }
  };
  const closeUntil = (position: bigint): void => {
    for (let top = open.at(-1); top !== undefined && top.end <= position; top = open.at(-1)) {
      open.pop();
      append(top.end, open.at(-1)?.value ?? NO_BLOCK);
    }
  };
  for (const interval of sorted) {
    closeUntil(interval.start);
    open.push(interval);
    append(interval.start, interval.value);
  }
  const lastEnd = sorted.reduce((end, interval) => (interval.end > end ? interval.end : end), 0n);
  closeUntil(lastEnd);
  return ranges.filter((range) => range.start < 1n << 64n);
}

function compareBigInt(a: bigint, b: bigint): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
