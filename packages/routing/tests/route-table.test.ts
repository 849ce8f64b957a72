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
    const match = table.find(host, path);
    expect(match === 'unusable' ? match : match?.name).toBe(name);
  });

  it('tells requests of unusable routes from requests without a route', () => {
    const known = makeRoute({ host: 'a.example', pathPrefix: '/a/' });
    const withUnusable = new RouteTable(
      [known],
      [{ host: 'a.example', pathPrefix: '/a/images/' }, { host: 'b.example' }],
    );
    expect(withUnusable.find('a.example', '/a/images/1')).toBe('unusable');
    expect(withUnusable.find('a.example', '/a/1')).toBe(known);
    expect(withUnusable.find('a.example', '/other')).toBeUndefined();
    expect(withUnusable.find('b.example', '/any')).toBe('unusable');
    expect(withUnusable.find('c.example', '/')).toBeUndefined();
  });

  it('serves a readable route though the host of another cannot be read', () => {
    const known = makeRoute({ host: 'a.example', pathPrefix: '/a/' });
    const withUnusable = new RouteTable([known], [{ pathPrefix: '/a/' }]);
    expect(withUnusable.find('a.example', '/a/1')).toBe(known);
    expect(withUnusable.find('c.example', '/a/1')).toBe('unusable');
  });

  it('tells whether any region may serve a host name', () => {
    const free = makeRoute({ host: 'a.example' });
    const bound = makeRoute({ host: 'b.example', homeRegions: ['fyn'] });
    const routes = [free, bound];
    const known = new RouteTable(routes, [{ host: 'c.example' }]);
    expect(known.isServedAnywhere('A.example:8080')).toBe(true);
    expect(known.isServedAnywhere('b.example')).toBe(false);
    expect(known.isServedAnywhere('c.example')).toBe(false);
    expect(known.isServedAnywhere('d.example')).toBe(false);
    expect(new RouteTable(routes, [{}]).isServedAnywhere('a.example')).toBe(false);
  });
});
