import type { ConfigurationDocument } from '@ferrylock/schema';
import { configurationDocumentSchema } from '@ferrylock/schema';
import { sha256 } from '@ferrylock/utils';
import { apply, generate } from 'json-merge-patch';
import type { ConfigurationDelta } from '../peer/peer-methods.js';

/** Creates the merge patch (RFC 7396) between two documents. */
export function makeDelta(
  before: ConfigurationDocument | undefined,
  after: ConfigurationDocument,
): ConfigurationDelta {
  const patch: unknown = generate(before ?? {}, after);
  return {
    account: after.account,
    fromGeneration: before?.generation ?? 0,
    generation: after.generation,
    changeId: after.changes.at(-1)?.changeId ?? 'unknown',
    patch,
    digest: contentDigest(after),
  };
}

/** Applies a patch; undefined if the base generation or the resulting digest does not match. */
export function applyDelta(
  before: ConfigurationDocument | undefined,
  delta: ConfigurationDelta,
): ConfigurationDocument | undefined {
  if ((before?.generation ?? 0) !== delta.fromGeneration) {
    return undefined;
  }
  const copy: unknown = structuredClone(before ?? {});
  const patched: unknown = apply(copy as object, delta.patch as object);
  const parsed = configurationDocumentSchema.safeParse(patched);
  if (!parsed.success || contentDigest(parsed.data) !== delta.digest) {
    return undefined;
  }
  return parsed.data;
}

/** Digest of a document, independent of the order of keys. */
export function contentDigest(document: ConfigurationDocument): string {
  return sha256(JSON.stringify(sortKeys(document)));
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys);
  }
  if (typeof value !== 'object' || value === null) {
    return value;
  }
  const entries = Object.entries(value).map(([key, inner]) => [key, sortKeys(inner)] as const);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
}
