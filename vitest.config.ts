import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

/** Tests run the TypeScript sources directly, so that no build has to come first. */
export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@ferrylock\/([a-z-]+)$/,
        replacement: fileURLToPath(new URL('./packages/$1/src/index.ts', import.meta.url)),
      },
    ],
  },
  test: {
    include: ['{packages/*,platform}/tests/**/*.test.ts'],
    testTimeout: 30_000,
  },
});
