import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', '**/coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  {
    files: ['**/*.mjs'],
    rules: {
      'n/no-sync': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: new URL('.', import.meta.url).pathname,
      },
    },
    rules: {
      // The brief asks for `static create`, which needs private constructors without a body.
      'no-useless-constructor': 'off',
      'no-empty-function': ['error', { allow: ['constructors'] }],
      '@typescript-eslint/no-useless-constructor': 'off',
      '@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
      // Modules export one main thing by name; default exports do not survive renames.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // Controllers own the objects that they keep and change their fields.
      'no-param-reassign': ['error', { props: false }],
      // Types are inferred from schemas, which gives aliases.
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      // Node 20 has fetch, and the programs end by exit codes.
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      // Files are read and written only while a program starts.
      'n/no-sync': 'off',
      // Tries and rounds run one after the other by design.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // An error class stands beside the module that throws it.
      'max-classes-per-file': ['error', 2],
      'class-methods-use-this': 'off',
      // Promises that nobody waits for are marked with `void`.
      'no-void': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Environment variables and settings are read with index access under strict TypeScript.
      '@typescript-eslint/dot-notation': 'off',
      'max-lines': ['error', { max: 500, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.test.ts', '**/tests/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      // Test libraries are declared once, at the root.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
