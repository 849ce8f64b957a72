import type { ConfigurationDocument } from '@ferrylock/schema';
import { configurationDocumentSchema } from '@ferrylock/schema';
import type { StoredValue } from '@ferrylock/platform';

/** Reads a stored document; undefined where the value is missing or not one of ours. */
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
