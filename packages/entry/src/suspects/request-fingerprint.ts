import { createHash } from 'node:crypto';
import type { RoutedExchange } from '../request/caller-exchange.js';

/** Characters of six bits each. Enough that few other requests share them while some are looked for. */
const HEAD_CHARACTERS = 10;
/** With the head 132 bits: nobody finds a request of its own that stands for somebody else's. */
const BODY_CHARACTERS = 12;

/** What a request is known by when it comes again under another id. */
export type FingerprintedRequest = Pick<
  RoutedExchange,
  'path' | 'request' | 'route' | 'account' | 'body'
>;

/** The part of a fingerprint that does not need the body. */
export function fingerprintHead({ request, route, path, account }: FingerprintedRequest): string {
  const { method = 'GET' } = request;
  const text = JSON.stringify([method, route.host, path, account?.name ?? null]);
  return digest(text, HEAD_CHARACTERS);
}

/**
 * The same for every try of the same request: by method, host name, path, client account and body. A caller
 * that sends it again gives it another id, and may come to any host.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  return fingerprintHead(request) + digest(request.body ?? '', BODY_CHARACTERS);
}

function digest(content: string | Buffer, characters: number): string {
  return createHash('sha256').update(content).digest('base64url').slice(0, characters);
}
