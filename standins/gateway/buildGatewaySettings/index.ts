import type { GatewaySettings } from '../../../src/domain/forwarding';

/** Builds the settings of a gateway on free loopback ports that uses a stand-in store. */
export const buildGatewaySettings = (storeUrl: string): GatewaySettings => ({
  vm: 'vm-1',
  availabilityZone: 'z1',
  cores: 0.675,
  memoryBytes: null,
  callerAddress: '127.0.0.1:0',
  readinessAddress: '127.0.0.1:0',
  peerAddress: '127.0.0.1:0',
  metricsAddress: '127.0.0.1:0',
  seedAddresses: [],
  storeUrl,
  isFirstStart: true,
  bounds: {
    shutdownMs: 8000,
    reuseAfterMs: 2000,
    settleMs: 3000,
    changeMs: 2000,
    retryRatio: 0.8,
    retryWindowMs: 10_000,
    retryExtra: 150,
    trialRatio: 0.1,
    trialExtra: 50,
  },
});
