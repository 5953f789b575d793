import { randomInt } from 'node:crypto';
import { CONFIGURATION_KEY, TABLES } from '../../../../platform';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  type StandInServer,
} from '../../../../standins/gateway';
import { startCuttableProxy, type CutMode, type CuttableProxy } from '../startCuttableProxy';
import { buildPeerAddress, startGatewayProcess, type GatewayProcess } from '../startGatewayProcess';

/** A gateway and its links to all servers. */
export interface FleetVm {
  readonly zone: string;
  readonly gateway: GatewayProcess;
  cutFromServers(mode: CutMode): Promise<void>;
  restoreServers(): Promise<void>;
}

/** Gateways in processes of their own, with servers that answer at once. */
export interface GatewayFleet {
  readonly vms: readonly FleetVm[];
  stop(): Promise<void>;
}

/** Zone of each VM. */
const VM_ZONES = ['z1', 'z1', 'z2', 'z2'];

/** Zones of the servers unless told otherwise. */
const SERVER_ZONES = ['z1', 'z2', 'z2'];

const EVENTS = 3;

const answerAll = (server: StandInServer): void =>
  server.addListener(() => {
    const request = server.takeRequest();
    if (!request) return;
    if (request.target.startsWith('/stream/')) {
      server.startStream(request);
      server.sendEvents(request, 1, EVENTS);
      request.response.end();
    } else server.answer(request, 200, 'yes');
  });

/** Each VM has a store of its own, in which the servers have the addresses of that VM's links. */
const startStore = async (
  servers: readonly StandInServer[],
  links: readonly CuttableProxy[],
  serverZones: readonly string[],
): Promise<Awaited<ReturnType<typeof createStandInStore>>> => {
  const store = await createStandInStore();
  servers.forEach((server, index) => {
    const entry = { zone: serverZones[index], address: links[index]?.address };
    store.writeRow(TABLES.servers, server.id, buildWireEntry(server, entry));
  });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  return store;
};

const startLinks = (servers: readonly StandInServer[]): Promise<readonly CuttableProxy[]> =>
  Promise.all(servers.map(({ address }) => startCuttableProxy(address)));

/** Options of a fleet. */
export interface GatewayFleetOptions {
  /** Zone of each server. */
  readonly serverZones?: readonly string[];
  /** Lets a server handle its requests; by default it answers all at once. */
  readonly handleRequests?: (server: StandInServer) => void;
}

/** Starts two zones of two gateways each, and resolves once they know each other. */
export const startGatewayFleet = async ({
  handleRequests = answerAll,
  serverZones = SERVER_ZONES,
}: GatewayFleetOptions = {}): Promise<GatewayFleet> => {
  const servers = await Promise.all(
    serverZones.map((_, index) => createStandInServer(`i-${index}`)),
  );
  servers.forEach(handleRequests);
  const network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
  const ips = VM_ZONES.map((_, index) => `${network}.${index + 1}`);
  const seeds = ips.map(buildPeerAddress);
  const links = await Promise.all(VM_ZONES.map(() => startLinks(servers)));
  const stores = await Promise.all(links.map((own) => startStore(servers, own, serverZones)));
  const started = await Promise.allSettled(
    VM_ZONES.map((zone, index) =>
      startGatewayProcess({
        vm: `vm-${index + 1}`,
        zone,
        ip: ips[index] ?? '',
        seeds,
        storeUrl: stores[index]?.url ?? '',
      }),
    ),
  );
  const gateways = started.flatMap((one) => (one.status === 'fulfilled' ? [one.value] : []));
  const stop = async (): Promise<void> => {
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    await Promise.all([...links.flat(), ...servers, ...stores].map((part) => part.stop()));
  };
  try {
    if (gateways.length < VM_ZONES.length) throw new Error('a gateway did not start');
    await Promise.all(
      gateways.map(({ vm, waitForLines }) =>
        waitForLines('all peers', (lines) => {
          const text = JSON.stringify(lines.filter(({ message }) => message === 'peers known'));
          return gateways.every((other) => other.vm === vm || text.includes(other.vm));
        }),
      ),
    );
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    vms: gateways.map((gateway, index) => ({
      zone: VM_ZONES[index] ?? '',
      gateway,
      cutFromServers: async (mode) => {
        await Promise.all((links[index] ?? []).map((link) => link.cut(mode)));
      },
      restoreServers: async () => {
        await Promise.all((links[index] ?? []).map((link) => link.restore()));
      },
    })),
    stop,
  };
};
