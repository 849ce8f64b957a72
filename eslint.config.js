import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'platform/bundle/*.cjs'] },
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      '@typescript-eslint/no-unnecessary-condition': [
        'error',
        { allowConstantLoopConditions: true },
      ],
      '@typescript-eslint/require-await': 'off',
      'max-lines': ['error', { max: 320, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // An exception in a promise that nobody waits for ends the process: BackgroundTasks runs these.
    files: ['packages/{control,daemon,entry,platform}/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': ['error', { ignoreVoid: false }] },
  },
  {
    files: ['**/*.js', '**/*.mjs', 'vitest.config.ts'],
    ...tseslint.configs.disableTypeChecked,
  },
  { files: ['**/*.mjs'], languageOptions: { globals: { console: false, process: false } } },
  { files: ['platform/**/*.js'], languageOptions: { globals: { URL: false } } },
);
