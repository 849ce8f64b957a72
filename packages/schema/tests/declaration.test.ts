import { readFileSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import {
  declarationSchema,
  formatOpenRpcDocument,
  parseDeclarationText,
  parseFields,
} from '../src/index.js';

/** A small declaration that is right; each test breaks one thing in it. */
function declaration(change: (input: Record<string, unknown>) => void = () => undefined): unknown {
  const input: Record<string, unknown> = {
    account: 'skovlund',
    failureDomains: { 'fyn-1': { region: 'fyn' } },
    services: {
      'verdict-api': {
        repeat: 'free',
        targets: { t1: { address: '127.0.0.1', port: 9001, slots: 6, failureDomain: 'fyn-1' } },
      },
    },
    links: { 'to-fyn': { from: 'fyn', to: 'fyn-1', requestsPerSecond: 100 } },
    clientBlocks: { factory: { cidr: '10.1.0.0/16', place: 'fyn-1' } },
  };
  change(input);
  return input;
}

function set(path: string, value: unknown): (input: Record<string, unknown>) => void {
  return (input) => {
    const keys = path.split('/');
    const last = keys.pop() ?? '';
    let place = input;
    for (const key of keys) {
      place[key] ??= {};
      place = place[key] as Record<string, unknown>;
    }
    place[last] = value;
  };
}

describe('declarationSchema', () => {
  it('takes a right declaration and fills in defaults', () => {
    const parsed = parseFields(declarationSchema, declaration()).unwrap();
    expect(parsed.services['verdict-api']?.priority).toBe(5);
  });

  const faults: [string, (input: Record<string, unknown>) => void, string, RegExp][] = [
    ['unknown field', set('colour', 'red'), '(whole)', /colour/],
    [
      'zero slots',
      set('services/verdict-api/targets/t1/slots', 0),
      'services.verdict-api.targets.t1.slots',
      />=1/,
    ],
    [
      'negative cap',
      set('links/to-fyn/requestsPerSecond', -1),
      'links.to-fyn.requestsPerSecond',
      />=0/,
    ],
    ['undeclared place', set('links/to-fyn/to', 'mars'), 'links.to-fyn.to', /declared.*"mars"/],
    [
      'undeclared failure domain',
      set('services/verdict-api/targets/t1/failureDomain', 'fyn-9'),
      'services.verdict-api.targets.t1.failureDomain',
      /"fyn-9"/,
    ],
    [
      'shift of an undeclared service',
      set('shifts/s', { service: 'x', percentPerSecond: 1 }),
      'shifts.s.service',
      /declared service/,
    ],
    [
      'link without a cap',
      set('links/l', { from: 'fyn', to: 'fyn' }),
      'links.l',
      /requestsPerSecond/,
    ],
    [
      'block twice',
      set('clientBlocks/again', { cidr: '10.1.0.0/16', place: 'fyn' }),
      'clientBlocks.again.cidr',
      /"factory"/,
    ],
    [
      'block inside another',
      set('clientBlocks/inner', { cidr: '10.1.2.0/24', place: 'fyn' }),
      'clientBlocks.inner.within',
      /overlaps block "factory"/,
    ],
    [
      'block with host bits',
      set('clientBlocks/b', { cidr: '10.2.0.1/16', place: 'fyn' }),
      'clientBlocks.b.cidr',
      /zero bits/,
    ],
    [
      'no IP number',
      set('services/verdict-api/targets/t1/address', 'example.com'),
      'services.verdict-api.targets.t1.address',
      /IP number/,
    ],
    ['name with a dot', set('services/a.b', { repeat: 'free' }), 'services.a.b', /./],
  ];
  it.each(faults)('refuses %s and names the field', (_name, change, field, message) => {
    const problems = parseFields(declarationSchema, declaration(change)).unwrapErr();
    const found = problems.find((problem) => problem.field === field);
    expect(found?.message, JSON.stringify(problems)).toMatch(message);
  });

  it('takes a nested block that says what it lies within', () => {
    const nested = set('clientBlocks/inner', {
      cidr: '10.1.2.0/24',
      place: 'fyn',
      within: 'factory',
    });
    expect(parseFields(declarationSchema, declaration(nested)).isOk()).toBe(true);
  });

  it('names all faults at once', () => {
    const broken = declaration((input) => {
      set('colour', 1)(input);
      set('services/verdict-api/targets/t1/slots', 0)(input);
    });
    expect(parseFields(declarationSchema, broken).unwrapErr()).toHaveLength(2);
  });
});

describe('parseDeclarationText', () => {
  it.each(['skovlund', 'atec'])('reads the example of %s', (account) => {
    const text = readFileSync(new URL(`../../../examples/${account}.ini`, import.meta.url), 'utf8');
    const parsed = parseDeclarationText(text).unwrap();
    expect(parsed.account).toBe(account);
    expect(Object.keys(parsed.services)).toHaveLength(3);
  });

  it('reads INI and JSON by the same schema', () => {
    const json = JSON.stringify(declaration());
    const ini = [
      'account = skovlund',
      '[failureDomains.fyn-1]',
      'region = fyn',
      '[services.verdict-api]',
      'repeat = free',
      '[services.verdict-api.targets.t1]',
      'address = 127.0.0.1',
      'port = 9001',
      'slots = 6',
      'failureDomain = fyn-1',
      '[links.to-fyn]',
      'from = fyn',
      'to = fyn-1',
      'requestsPerSecond = 100',
      '[clientBlocks.factory]',
      'cidr = 10.1.0.0/16',
      'place = fyn-1',
    ].join('\n');
    expect(parseDeclarationText(ini).unwrap()).toEqual(parseDeclarationText(json).unwrap());
  });

  it('names broken JSON', () => {
    expect(parseDeclarationText('{"account":').unwrapErr()[0]?.message).toMatch(/expected JSON/);
  });
});

describe('OpenRPC document', () => {
  it('is the one that is committed', () => {
    const committed = readFileSync(new URL('../../../docs/openrpc.json', import.meta.url), 'utf8');
    expect(committed).toBe(formatOpenRpcDocument());
  });
});
