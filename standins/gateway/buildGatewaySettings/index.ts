import type { GatewaySettings } from '../../../src/domain/forwarding';
import { drawLoopbackHost } from '../../_lib/drawLoopbackHost';

/** Builds the settings of a gateway on a loopback address of its own that uses a stand-in store. */
export const buildGatewaySettings = (storeUrl: string): GatewaySettings => {
  const address = `${drawLoopbackHost()}:0`;
  return {
    vm: 'vm-1',
    availabilityZone: 'z1',
    cores: 0.675,
    memoryBytes: null,
    callerAddress: address,
    readinessAddress: address,
    peerAddress: address,
    metricsAddress: address,
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
  };
};
