import { makeAccount, makeRoute } from '@ferrylock/test-utils';
import { describe, expect, it } from 'vitest';
import { requestFingerprint } from '../../src/suspects/request-fingerprint.js';
import { makeExchange } from '../fixtures.js';

describe('requestFingerprint', () => {
  const original = requestFingerprint(makeExchange());

  it('is the same for a repetition with another request id', () => {
    expect(requestFingerprint(makeExchange({ requestId: 'another' }))).toBe(original);
    expect(requestFingerprint(makeExchange({ body: Buffer.alloc(0) }))).toBe(original);
  });

  it.each([
    ['path', { path: '/verdicts/2' }],
    ['query', { path: '/verdicts/1?x=1' }],
    ['client account', { account: makeAccount() }],
    ['body', { body: Buffer.from('x') }],
    ['host name', { route: makeRoute({ host: 'other.example' }) }],
  ])('differs with another %s', (_part, changes) => {
    expect(requestFingerprint(makeExchange(changes))).not.toBe(original);
  });

  it('separates the parts unambiguously', () => {
    const one = makeExchange({ path: '/a', account: makeAccount({ name: 'b/c' }) });
    const other = makeExchange({ path: '/a/b', account: makeAccount({ name: 'c' }) });
    expect(requestFingerprint(one)).not.toBe(requestFingerprint(other));
  });

  it('is the same for a new version of the route', () => {
    const route = makeRoute({ timeoutMilliseconds: 1, shares: [{ service: 'other', weight: 1 }] });
    expect(requestFingerprint(makeExchange({ route, version: 9 }))).toBe(original);
  });
});
