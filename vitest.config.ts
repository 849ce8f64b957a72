import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

/** Tests that measure a process, which run one at a time when all others have ended. */
const ALONE = 'platform/tests/crowds/**/*.test.ts';

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
    testTimeout: 30_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'all',
          include: ['{packages/*,platform}/tests/**/*.test.ts'],
          exclude: [ALONE],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'alone',
          include: [ALONE],
          fileParallelism: false,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
