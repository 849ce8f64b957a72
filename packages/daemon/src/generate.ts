/** Writes the committed settings reference: `npm run generate`. */
import { writeFileSync } from 'node:fs';
import { formatSettingsReference } from './settings/settings-reference.js';

const file = new URL('../../../docs/operators/settings.md', import.meta.url);
writeFileSync(file, formatSettingsReference());
