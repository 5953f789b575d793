// Tests that load the machine and measure a process: one after the other, beside no others.
export default {
  files: ['tests/gateway/hostileClients.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  timeout: '120s',
};
