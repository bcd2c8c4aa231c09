import gts from 'gts';
import {defineConfig} from 'eslint/config';
import globals from 'globals';

export default defineConfig([
  {ignores: ['dist/', 'target/', 'node_modules/']},
  ...gts,
  {
    files: ['eslint.config.js', '.ci/*.mjs'],
    languageOptions: {sourceType: 'module', globals: globals.node},
  },
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.json'}},
    rules: {
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-floating-promises': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
]);
