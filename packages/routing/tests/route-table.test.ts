import { describe, expect, it } from 'vitest';
import { RouteTable } from '../src/index.js';
import { makeRoute } from '@ferrylock/test-utils';

describe('RouteTable', () => {
  const table = new RouteTable([
    makeRoute({ name: 'all', pathPrefix: '/' }),
    makeRoute({ name: 'images', pathPrefix: '/images/' }),
    makeRoute({ name: 'reference', pathPrefix: '/images/reference/' }),
    makeRoute({ name: 'gate', host: 'gate.example', pathPrefix: '/orders/' }),
  ]);

  it.each([
    ['verdicts.example', '/images/reference/1', 'reference'],
    ['verdicts.example', '/images/1?size=2', 'images'],
    ['verdicts.example', '/images', 'all'],
    ['VERDICTS.example:8548', '/', 'all'],
    ['gate.example', '/orders/7', 'gate'],
    ['gate.example', '/other', undefined],
    ['unknown.example', '/', undefined],
  ])('routes %s%s to %s', (host, path, name) => {
    expect(table.find(host, path)?.name).toBe(name);
  });
});
