import fc from 'fast-check';
import ipaddr from 'ipaddr.js';
import { describe, expect, it } from 'vitest';
import { ClientBlockTable, NO_BLOCK } from '../../src/index.js';

/** The narrowest block that holds the address, by looking at every one of them. */
function findSlowly(entries: readonly { cidr: string; value: number }[], address: string): number {
  const parsed = ipaddr.process(address);
  let best = NO_BLOCK;
  let bestLength = -1;
  for (const { cidr, value } of entries) {
    const [network, length] = ipaddr.parseCIDR(cidr);
    if (
      network.kind() === parsed.kind() &&
      length > bestLength &&
      parsed.match([network, length] as never)
    ) {
      best = value;
      bestLength = length;
    }
  }
  return best;
}

function blockOf(address: string, length: number): string {
  const parsed = ipaddr.parse(address);
  const network = ipaddr[parsed.kind() === 'ipv4' ? 'IPv4' : 'IPv6'].networkAddressFromCIDR(
    `${address}/${length}`,
  );
  return `${network.toString()}/${length}`;
}

const ipv4 = fc.integer({ min: 0, max: 0xffff }).map((n) => `10.0.${n >> 8}.${n & 255}`);
const ipv6 = fc.integer({ min: 0, max: 0xffff }).map((n) => `2001:db8:${n.toString(16)}::1`);

describe('ClientBlockTable', () => {
  it.each([
    ['IPv4', ipv4, fc.integer({ min: 8, max: 32 })],
    ['IPv6', ipv6, fc.integer({ min: 16, max: 64 })],
  ])('finds the same as a look at every block, %s', (_name, address, length) => {
    const block = fc.tuple(address, length).map(([text, bits]) => blockOf(text, bits));
    const blocks = fc.uniqueArray(block, { maxLength: 40 });
    fc.assert(
      fc.property(blocks, fc.array(address, { maxLength: 40 }), (cidrs, addresses) => {
        const entries = cidrs.map((cidr, value) => ({ cidr, value }));
        const table = new ClientBlockTable(entries);
        for (const text of addresses) {
          expect(table.find(text)).toBe(findSlowly(entries, text));
        }
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it.each(['', '10.0.0', '10.0.0.256', '10.0.0.0.1', 'host', '1.2.3.4x'])(
    'finds nothing for "%s"',
    (text) => {
      expect(new ClientBlockTable([{ cidr: '0.0.0.0/0', value: 1 }]).find(text)).toBe(NO_BLOCK);
    },
  );

  it('takes an IPv4 address in IPv6 clothing', () => {
    expect(new ClientBlockTable([{ cidr: '10.0.0.0/8', value: 3 }]).find('::ffff:10.1.1.1')).toBe(
      3,
    );
  });
});
