import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

// The layers, innermost first: each may import only itself and those before it.
const layers = ['domain', 'application', 'adapters', 'programs'];
const layerZones = layers.flatMap((layer, index) =>
  layers.slice(index + 1).map((outer) => ({
    target: `./src/${layer}`,
    from: `./src/${outer}`,
    message: `${layer} must not import from ${outer}: layers point inwards only.`,
  })),
);
// The platform's names are met in one folder: only the wiring joins it and the product.
const platformZones = [
  ...['domain', 'application', 'adapters'].map((layer) => ({
    target: `./src/${layer}`,
    from: './platform',
    message: `${layer} must not know the platform's names.`,
  })),
  ...['adapters', 'programs'].map((layer) => ({
    target: './platform',
    from: `./src/${layer}`,
    message: 'platform translates into the types and ports of domain and application.',
  })),
];
const productZone = ['standins', 'tools', 'tests'].map((folder) => ({
  target: './src',
  from: `./${folder}`,
  message: `the product must not import from ${folder}.`,
}));

export default [
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      'src/adapters/connect/gen/',
      '**/*.js',
      '**/*.mjs',
      '**/*.cjs',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    rules: {
      'import-x/no-restricted-paths': [
        'error',
        { zones: [...layerZones, ...platformZones, ...productZone] },
      ],
      // House style: named exports with index files.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: ['**/test.ts', '**/*.test.ts', 'tests/**', 'standins/**', 'tools/**'] },
      ],
      // Streams and retries are sequential by nature: each step waits for the one before.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Use Object.entries.' },
        { selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.' },
        { selector: 'LabeledStatement', message: 'Extract a function instead.' },
        { selector: 'WithStatement', message: 'with is not allowed.' },
      ],
      'no-continue': 'off',
      // neverthrow's accessors for tests, and DynamoDB's own field name.
      'no-underscore-dangle': [
        'error',
        { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr', '__type', '_handle'] },
      ],
      'max-lines': ['error', { max: 250, skipBlankLines: false, skipComments: false }],
    },
  },
  {
    // Tests stand beside the code they test, and may use the stand-ins.
    files: ['src/**/test.ts'],
    rules: {
      'import-x/no-restricted-paths': ['error', { zones: [...layerZones, ...platformZones] }],
    },
  },
  prettier,
];
