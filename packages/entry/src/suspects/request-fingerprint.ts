import { createHash } from 'node:crypto';
import { FINGERPRINT_PREFIX_LENGTH } from '@ferrylock/routing';
import { stableHash } from '@ferrylock/utils';

/** Of six bits each: nobody finds a request of its own that stands for somebody else's. */
const DIGEST_CHARACTERS = 20;
const HEAD_RADIX = 36;

/** What a request is known by when it comes again under another id. */
export interface FingerprintedRequest {
  readonly request: { readonly method?: string | undefined };
  readonly route: { readonly host: string };
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly account: { readonly name: string } | undefined;
  readonly body: Buffer | undefined;
}

/**
 * The beginning of a fingerprint. It needs no body and a sixth of a microsecond, so that requests which nobody
 * looks for are told apart by it.
 */
export function fingerprintPrefix(request: FingerprintedRequest): string {
  return headOf(describe(request));
}

/**
 * The same for every try of the same request: by method, host name, path, client account and body. A caller
 * that sends it again gives it another id, and may come to any host.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  const text = describe(request);
  const hash = createHash('sha256')
    .update(text)
    .update('\n')
    .update(request.body ?? '');
  return headOf(text) + hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
}

/** All but the body. No line end stands in the first three, so that no part is taken for another. */
function describe({ request, route, path, account }: FingerprintedRequest): string {
  const owner = account === undefined ? '' : JSON.stringify(account.name);
  return `${request.method ?? 'GET'}\n${route.host}\n${path}\n${owner}`;
}

function headOf(text: string): string {
  return stableHash(text).toString(HEAD_RADIX).padStart(FINGERPRINT_PREFIX_LENGTH, '0');
}
