/** Writes the committed OpenRPC file: `npm run generate`. */
import { writeFileSync } from 'node:fs';
import { formatOpenRpcDocument } from './openrpc.js';

writeFileSync(new URL('../../../docs/openrpc.json', import.meta.url), formatOpenRpcDocument());
