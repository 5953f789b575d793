// Tests that load the machine and measure a process, and unsteady ones: one after the other, beside no others.
export default {
  files: [
    'tests/gateway/endlessSums.test.ts',
    'tests/gateway/hostileClients.test.ts',
    'tests/gateway/unreadAnswers.test.ts',
  ],
  concurrency: 1,
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  timeout: '120s',
};
