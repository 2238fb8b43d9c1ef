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
      // Classes are created by `static create`, which needs private constructors without a body.
      'no-useless-constructor': 'off',
      'no-empty-function': ['error', { allow: ['constructors'] }],
      '@typescript-eslint/no-useless-constructor': 'off',
      '@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
      // A module exports its main item by name, because renames do not follow default exports.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      // Classes own the objects that they store and may change their fields.
      'no-param-reassign': ['error', { props: false }],
      // Types inferred from schemas are type aliases, and all other types use the same form.
      '@typescript-eslint/consistent-type-definitions': ['error', 'type'],
      // Node 20 has `fetch`, and the programs report results by exit code.
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      // Files are read and written synchronously only while a program starts.
      'n/no-sync': 'off',
      // Loops that await, such as retries, are sequential by design.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // An error class is declared in the module that throws it.
      'max-classes-per-file': ['error', 2],
      'class-methods-use-this': 'off',
      // `void` marks promises that are not awaited.
      'no-void': 'off',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      // Strict TypeScript requires index access for environment variables and settings.
      '@typescript-eslint/dot-notation': 'off',
      'max-lines': ['error', { max: 500, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.test.ts', '**/tests/**/*.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      // Test libraries are declared once, in the package.json of the root.
      'import-x/no-extraneous-dependencies': 'off',
    },
  },
];
