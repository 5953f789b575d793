import { setTimeout as wait } from 'node:timers/promises';
import {
  buildWireConfiguration,
  type ReceivedRequest,
  type StandInServer,
} from '../../../standins/gateway';
import { startProcessFleet, type ProcessFleet } from '../../_lib/startProcessFleet';

const ENGINES = 60;
const DESK_SERVERS = 4;
const LOOKUP_MS = 20;
const LOOKUP_BYTES = 800;
const PREFILL_MS = 1000;
const EVENT_MS = 35;
const EVENTS = 140;
const ROUTE_TIMEOUT_MS = 25_000;

const sendStream = async (server: StandInServer, request: ReceivedRequest): Promise<void> => {
  await wait(PREFILL_MS);
  if (request.socket.destroyed) return;
  server.startStream(request);
  const resumedAfter = Number(request.headers['last-event-id'] ?? 0);
  for (let id = resumedAfter + 1; id <= EVENTS && !request.response.destroyed; id += 1) {
    server.sendEvents(request, id, id);
    await wait(EVENT_MS);
  }
  request.response.end();
};

const serve = (server: StandInServer, request: ReceivedRequest): void => {
  if (request.target.startsWith('/stream/')) sendStream(server, request);
  else setTimeout(() => server.answer(request, 200, 'x'.repeat(LOOKUP_BYTES)), LOOKUP_MS);
};

const buildConfiguration = (): object => {
  const { routes, services } = buildWireConfiguration() as {
    routes: { name: string }[];
    services: object[];
  };
  return buildWireConfiguration({
    routes: routes.map((route) => ({
      ...route,
      service: route.name === 'stream' ? 's' : 'desk',
      timeout_ms: ROUTE_TIMEOUT_MS,
    })),
    services: [...services, { name: 'desk', health_path: '/healthz' }],
  });
};

/**
 * Starts the gateways whose processor time is measured.
 *
 * @param vms - number of gateways
 */
export const startCostFleet = (vms: number, folder: string): Promise<ProcessFleet> =>
  startProcessFleet({
    vms,
    folder,
    servers: { s: ENGINES, desk: DESK_SERVERS },
    configuration: buildConfiguration(),
    serve,
  });
