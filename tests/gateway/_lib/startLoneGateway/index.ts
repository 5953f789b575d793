import { CONFIGURATION_KEY, TABLES } from '../../../../platform';
import { drawLoopbackHost } from '../../../../standins/_lib/drawLoopbackHost';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  type StandInServer,
} from '../../../../standins/gateway';
import { startGatewayProcess, type GatewayProcess } from '../startGatewayProcess';

/** A gateway in a process of its own, before one server. */
export interface LoneGateway {
  readonly gateway: GatewayProcess;
  readonly server: StandInServer;
  stop(): Promise<void>;
}

/** Options of a lone gateway. */
export interface LoneGatewayOptions {
  /** Limits of callers, as in a configuration. */
  readonly limits: object;
  /** Memory beyond which the platform would kill the process; not told by default. */
  readonly memoryMb?: number;
}

/** Starts a gateway, a store and a server, and resolves once the gateway is ready. */
export const startLoneGateway = async ({
  limits,
  ...options
}: LoneGatewayOptions): Promise<LoneGateway> => {
  const store = await createStandInStore();
  const server = await createStandInServer('i-1');
  store.writeRow(TABLES.servers, server.id, buildWireEntry(server));
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ limits }));
  const gateway = await startGatewayProcess({
    vm: 'vm-1',
    zone: 'z1',
    ip: drawLoopbackHost(),
    seeds: [],
    storeUrl: store.url,
    ...options,
  });
  return {
    gateway,
    server,
    stop: async () => {
      await gateway.stop();
      await Promise.all([server.stop(), store.stop()]);
    },
  };
};
