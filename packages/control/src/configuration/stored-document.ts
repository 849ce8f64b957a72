import type { ConfigurationDocument } from '@ferrylock/schema';
import { configurationDocumentSchema } from '@ferrylock/schema';
import type { StoredValue } from '@ferrylock/platform';

/** Parses a stored document; undefined if the value is missing or invalid. */
export function readStoredDocument(
  stored: Pick<StoredValue, 'value'> | undefined,
): ConfigurationDocument | undefined {
  if (stored === undefined) {
    return undefined;
  }
  try {
    const parsed = configurationDocumentSchema.safeParse(JSON.parse(stored.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
