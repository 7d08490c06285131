import gts from 'gts';

/** Modules that the decision core must never reach: I/O belongs to src/proxy. */
const IO_MODULES = [
  'node:*',
  'undici',
  'tslog',
  'prom-client',
  'commander',
  'json-rpc-2.0',
  '../proxy/*',
  '../../proxy/*',
];

/** Globals that would make a reducer depend on something outside its events. */
const IMPURE_GLOBALS = [
  'Date',
  'setTimeout',
  'setInterval',
  'setImmediate',
  'performance',
  'process',
  'console',
  'fetch',
  'crypto',
  'require',
  'Buffer',
];

export default [
  {
    ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'spec/build/**', 'eslint.config.js'],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    rules: {
      'prettier/prettier': [
        'error',
        {
          bracketSpacing: false,
          singleQuote: true,
          trailingComma: 'all',
          arrowParens: 'avoid',
        },
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'class', format: ['PascalCase']},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      eqeqeq: 'error',
    },
  },
  {
    files: ['src/core/**/*.ts', 'src/model/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: IO_MODULES}],
      'no-restricted-globals': ['error', ...IMPURE_GLOBALS],
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random'},
      ],
    },
  },
];
