export default {
  files: [
    'src/**/test.ts',
    'standins/**/test.ts',
    'tools/**/test.ts',
    'client/**/test.ts',
    'tests/**/*.test.ts',
    // Run by themselves: ava.alone.config.js.
    '!tests/gateway/cutOffVms.test.ts',
    '!tests/gateway/endlessBytes.test.ts',
    '!tests/gateway/endlessSums.test.ts',
    '!tests/gateway/hostileClients.test.ts',
    '!tests/gateway/scheduling.test.ts',
  ],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  timeout: '120s',
};
