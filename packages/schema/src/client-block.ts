import ipaddr from 'ipaddr.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';

/** A block of client addresses in numeric form, ready to be compared and sorted. */
export interface ClientBlock {
  readonly version: 4 | 6;
  readonly bytes: readonly number[];
  readonly prefixLength: number;
}

/** Parses a CIDR block; the error says what was expected. Bits beyond the prefix must be zero. */
export function parseClientBlock(text: string): Result<ClientBlock, string> {
  if (!ipaddr.isValidCIDR(text)) {
    return Err(`expected a block such as 192.0.2.0/24 or 2001:db8::/32, got "${text}"`);
  }
  const [address, prefixLength] = ipaddr.parseCIDR(text);
  const bytes = address.toByteArray();
  if (!hostBitsAreZero(bytes, prefixLength)) {
    return Err(`expected zero bits beyond /${prefixLength} in "${text}"`);
  }
  return Ok({ version: address.kind() === 'ipv4' ? 4 : 6, bytes, prefixLength });
}

/** Whether the first block holds every address of the second. */
export function blockContains(outer: ClientBlock, inner: ClientBlock): boolean {
  if (outer.version !== inner.version || outer.prefixLength > inner.prefixLength) {
    return false;
  }
  return prefixKey(outer, outer.prefixLength) === prefixKey(inner, outer.prefixLength);
}

/** The block's leading bits as text: equal for two blocks exactly when those bits are. */
export function prefixKey(block: ClientBlock, prefixLength: number): string {
  const wholeBytes = Math.floor(prefixLength / 8);
  const restBits = prefixLength % 8;
  const rest = restBits === 0 ? 0 : (block.bytes[wholeBytes] ?? 0) >> (8 - restBits);
  return `${block.version}/${prefixLength}/${block.bytes.slice(0, wholeBytes).join('.')}/${rest}`;
}

function hostBitsAreZero(bytes: readonly number[], prefixLength: number): boolean {
  return bytes.every((byte, index) => {
    const prefixBits = Math.min(8, Math.max(0, prefixLength - index * 8));
    return (byte & (0xff >> prefixBits)) === 0;
  });
}
