import { fileURLToPath } from 'node:url';

import { configs, plugins } from 'eslint-config-airbnb-extended';

// docs/verbs.md lists the same verbs; keep both in sync.
const verbs = [
  'accept',
  'add',
  'admit',
  'announce',
  'answer',
  'append',
  'apply',
  'ask',
  'borrow',
  'build',
  'cancel',
  'check',
  'choose',
  'classify',
  'close',
  'commit',
  'compare',
  'complete',
  'compute',
  'confirm',
  'connect',
  'count',
  'create',
  'decay',
  'decide',
  'decode',
  'describe',
  'dispatch',
  'draw',
  'drop',
  'eject',
  'elect',
  'encode',
  'end',
  'estimate',
  'exchange',
  'expect',
  'fail',
  'find',
  'follow',
  'format',
  'get',
  'grant',
  'handle',
  'install',
  'join',
  'leave',
  'lend',
  'list',
  'load',
  'mark',
  'measure',
  'merge',
  'notify',
  'open',
  'parse',
  'print',
  'propose',
  'prune',
  'put',
  'read',
  'record',
  'refuse',
  'register',
  'release',
  'remove',
  'rename',
  'render',
  'renew',
  'replay',
  'report',
  'request',
  'reset',
  'resolve',
  'restore',
  'retry',
  'run',
  'save',
  'send',
  'serve',
  'set',
  'show',
  'sleep',
  'split',
  'start',
  'stop',
  'store',
  'subscribe',
  'sync',
  'take',
  'tick',
  'transfer',
  'truncate',
  'update',
  'use',
  'verify',
  'vote',
  'wait',
  'watch',
  'write',
  'yield',
];
const predicates = ['is', 'has', 'may', 'can', 'should'];
// Names that a library or the language requires.
const fixed = ['main', 'now', 'next', 'on', 'to', 'from', 'map', 'debug', 'info', 'warn', 'error'];
const functionName = {
  regex: `^(${[...verbs, ...predicates, ...fixed].join('|')})([A-Z0-9].*)?$`,
  match: true,
};

// Each layer lists the layers that it must not import.
const layers = {
  domain: ['ports', 'application', 'adapters', 'daemon', 'cli'],
  ports: ['application', 'adapters', 'daemon', 'cli'],
  application: ['adapters', 'daemon', 'cli'],
  adapters: ['daemon', 'cli'],
  daemon: ['cli'],
  cli: ['daemon', 'application'],
};

const layerZones = Object.entries(layers).flatMap(([layer, forbidden]) =>
  forbidden.map((other) => ({
    target: `./src/${layer}`,
    from: `./src/${other}`,
    message: `${layer} must not import ${other}; see docs/design.md, section 3.`,
  })),
);

// Only platform/ may use the names of the platform, so src must not import it.
layerZones.push({
  target: './src',
  from: './platform',
  message: 'src must not import platform; see docs/platform.md.',
});

export default [
  { ignores: ['dist/**', 'target/**', 'coverage/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  ...configs.node.recommended,
  {
    files: ['**/*.ts', '**/*.js'],
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['*.js'] } },
    },
    settings: { 'import-x/resolver': { typescript: true, node: { extensions: ['.js', '.ts'] } } },
    rules: {
      // Prettier formats the code.
      '@stylistic/max-len': [
        'error',
        {
          code: 100,
          ignoreUrls: true,
          ignoreStrings: true,
          ignoreTemplateLiterals: true,
          ignoreRegExpLiterals: true,
        },
      ],
      'import-x/no-restricted-paths': [
        'error',
        { zones: layerZones, basePath: fileURLToPath(new URL('.', import.meta.url)) },
      ],
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      // A class keeps state and its decisions together, even if a method reads only its arguments.
      'class-methods-use-this': 'off',
      'no-underscore-dangle': 'error',
      'no-console': 'error',
      // The programs under `bin` in package.json are compiled from src/ to dist/.
      'n/hashbang': [
        'error',
        { convertPath: { 'src/**/*.ts': ['^src/(.+)\\.ts$', 'dist/$1.js'] } },
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    rules: {
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'variableLike',
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
          leadingUnderscore: 'allow',
        },
        { selector: 'function', format: ['camelCase'], custom: functionName },
        { selector: 'classMethod', format: ['camelCase'], custom: functionName },
        // Node.js fixes the names of the methods that its classes call.
        { selector: 'classMethod', modifiers: ['override'], format: null },
        { selector: 'typeLike', format: ['PascalCase'] },
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    // One task serves each connection and each peer: its loop awaits every step in order, so await
    // and continue in loops are allowed.
    files: [
      'src/application/**/*.ts',
      'src/adapters/**/*.ts',
      'src/daemon/**/*.ts',
      'src/cli/**/*.ts',
      'platform/**/*.ts',
      'tests/**/*.ts',
      'bench/**/*.ts',
      'examples/**/*.ts',
    ],
    rules: {
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.keys() and array methods.' },
        { selector: 'LabeledStatement', message: 'Labels make control flow hard to follow.' },
        { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
      ],
    },
  },
  {
    files: [
      'src/cli/**/*.ts',
      'src/daemon/**/*.ts',
      'platform/**/*.ts',
      'bench/**/*.ts',
      'examples/**/*.ts',
      'tests/runSoak.ts',
    ],
    rules: { 'n/no-process-exit': 'off' },
  },
];
