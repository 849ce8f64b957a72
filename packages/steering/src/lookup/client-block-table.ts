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
const IPV4_END = WORD_RANGE;
const IPV6_END = 1n << 64n;
const IPV4_NETWORK_SIZE = 65_536;
const IPV4_NETWORKS = 65_536;

interface Interval<Address extends number | bigint> {
  readonly start: Address;
  readonly end: Address;
  readonly value: number;
}

interface Range<Address extends number | bigint> {
  readonly start: Address;
  value: number;
}

/**
 * Longest-prefix match over client blocks. Nested blocks are flattened once into disjoint ranges,
 * held in typed arrays and found by binary search: 8 bytes a range for IPv4, 12 for IPv6, and an index
 * of 256 KiB over the first half of an IPv4 address. A table never changes; a new one takes its place
 * whole.
 */
export class ClientBlockTable {
  readonly #starts4: Uint32Array;
  readonly #values4: Int32Array;
  /** For each /16 network, the number of ranges that start before it: where its search begins. */
  readonly #firstAfter4: Uint32Array;
  readonly #starts6High: Uint32Array;
  readonly #starts6Low: Uint32Array;
  readonly #values6: Int32Array;

  constructor(entries: readonly BlockEntry[]) {
    const intervals4: Interval<number>[] = [];
    const intervals6: Interval<bigint>[] = [];
    for (const { cidr, value } of entries) {
      const interval4 = parseIpv4Block(cidr, value);
      if (interval4 !== undefined) {
        intervals4.push(interval4);
        continue;
      }
      const block = parseClientBlock(cidr);
      if (block.isOk()) {
        intervals6.push(toInterval6(block.value, value));
      }
    }
    const ranges4 = flatten(intervals4, IPV4_END);
    const ranges6 = flatten(intervals6, IPV6_END);
    this.#starts4 = Uint32Array.from(ranges4, (range) => range.start);
    this.#values4 = Int32Array.from(ranges4, (range) => range.value);
    this.#firstAfter4 = indexNetworks(this.#starts4);
    this.#starts6High = Uint32Array.from(ranges6, (range) => Number(range.start >> 32n));
    this.#starts6Low = Uint32Array.from(ranges6, (range) => Number(range.start & 0xffff_ffffn));
    this.#values6 = Int32Array.from(ranges6, (range) => range.value);
  }

  /** Memory that the table's arrays take. */
  get bytes(): number {
    return [
      this.#starts4,
      this.#values4,
      this.#firstAfter4,
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
    if (!ipaddr.IPv6.isValid(address)) {
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
    const network = address >>> 16;
    let low = this.#firstAfter4[network]!;
    let high = this.#firstAfter4[network + 1]!;
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

/** Reads a block such as 192.0.2.0/24; undefined where it is none of IPv4. */
function parseIpv4Block(cidr: string, value: number): Interval<number> | undefined {
  const slash = cidr.indexOf('/');
  const address = parseIpv4(cidr.slice(0, slash));
  const prefixLength = Number(cidr.slice(slash + 1));
  if (slash < 0 || address < 0 || !(prefixLength >= 0 && prefixLength <= 32)) {
    return undefined;
  }
  const size = 2 ** (32 - prefixLength);
  const start = address - (address % size);
  return { start, end: start + size, value };
}

function toInterval6(block: ClientBlock, value: number): Interval<bigint> {
  const prefixLength = Math.min(block.prefixLength, IPV6_NETWORK_BITS);
  const start =
    BigInt(wordAt(block.bytes, 0)) * BigInt(WORD_RANGE) + BigInt(wordAt(block.bytes, 4));
  const size = 1n << BigInt(IPV6_NETWORK_BITS - prefixLength);
  return { start, end: start + size, value };
}

function indexNetworks(starts: Uint32Array): Uint32Array {
  const firstAfter = new Uint32Array(IPV4_NETWORKS + 1);
  let range = 0;
  for (let network = 0; network <= IPV4_NETWORKS; network++) {
    const networkStart = network * IPV4_NETWORK_SIZE;
    while (range < starts.length && starts[range]! < networkStart) {
      range++;
    }
    firstAfter[network] = range;
  }
  return firstAfter;
}

/** Cuts nested intervals into disjoint ranges; each runs to the next one's start. */
function flatten<Address extends number | bigint>(
  intervals: readonly Interval<Address>[],
  addressEnd: Address,
): Range<Address>[] {
  // Of those that start alike, the wider comes first, so that the narrower covers it.
  const sorted = [...intervals].sort((a, b) => compare(a.start, b.start) || compare(b.end, a.end));
  const ranges: Range<Address>[] = [];
  const open: Interval<Address>[] = [];
  const append = (start: Address, value: number): void => {
    const last = ranges.at(-1);
    if (last?.start === start) {
      last.value = value;
    } else if (last?.value !== value) {
      ranges.push({ start, value });
    }
  };
  const closeUntil = (position: Address): void => {
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
  closeUntil(addressEnd);
  return ranges.filter((range) => range.start < addressEnd);
}

function compare<Address extends number | bigint>(a: Address, b: Address): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
