import { createHash } from 'node:crypto';
import { FINGERPRINT_PREFIX_LENGTH } from '@ferrylock/routing';
import { stableHash } from '@ferrylock/utils';

/** Six bits each, so that no request can be crafted to match the fingerprint of another. */
const DIGEST_CHARACTERS = 20;
const PREFIX_RADIX = 36;

/** Parts of a request that identify it across repetitions with another request id. */
export interface FingerprintedRequest {
  readonly request: { readonly method?: string | undefined };
  readonly route: { readonly host: string };
  /** Path and query, unmodified. */
  readonly path: string;
  readonly account: { readonly name: string } | undefined;
  readonly body: Buffer | undefined;
}

/** Computes the prefix of a fingerprint without hashing the body, to filter requests cheaply. */
export function fingerprintPrefix(request: FingerprintedRequest): string {
  return prefixOf(serializeHead(request));
}

/**
 * Computes a fingerprint from method, host name, path, client account and body. It is the same for
 * all repetitions of a request, which have different request ids and may arrive at any host.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  const text = serializeHead(request);
  const hash = createHash('sha256')
    .update(text)
    .update('\n')
    .update(request.body ?? '');
  return prefixOf(text) + hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
}

/**
 * Joins all parts but the body. The first three contain no newline, so the result is unambiguous.
 */
function serializeHead({ request, route, path, account }: FingerprintedRequest): string {
  const owner = account === undefined ? '' : JSON.stringify(account.name);
  return `${request.method ?? 'GET'}\n${route.host}\n${path}\n${owner}`;
}

function prefixOf(text: string): string {
  return stableHash(text).toString(PREFIX_RADIX).padStart(FINGERPRINT_PREFIX_LENGTH, '0');
}
