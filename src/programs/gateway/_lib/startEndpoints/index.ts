import { Hono } from 'hono';
import { err, ok, type Result } from 'neverthrow';
import {
  startCallerServer,
  type ListeningServer,
  type ListenError,
} from '../../../../adapters/http';
import {
  createGatewayHandlers,
  startGatewayServer,
  type RelayHandler,
} from '../../../../adapters/connect';
import { PATHS } from '../../../../../platform';
import type { GatewaySettings } from '../../../../domain/forwarding';
import type { GatewayParts } from '../../types';
import { parseAddress } from '../parseAddress';

/** Parts that the endpoints serve. */
export interface EndpointParts extends Pick<
  GatewayParts,
  | 'probeReach'
  | 'directory'
  | 'fleetLoad'
  | 'gossip'
  | 'lender'
  | 'limitOwner'
  | 'log'
  | 'metrics'
  | 'places'
  | 'rolloutJudge'
  | 'roomOwner'
  | 'scheduling'
  | 'sharing'
> {
  readonly relay: RelayHandler;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
  readonly countRunning: () => number;
}

/** Listening endpoints. */
export interface Endpoints {
  readonly readinessUrl: string;
  readonly metricsUrl: string;
  stop(): Promise<void>;
}

const READY_STATUS = 200;
const NOT_READY_STATUS = 503;

/** Starts the servers for readiness checks, for metrics and for calls of other gateways. */
export const startEndpoints = async (
  settings: GatewaySettings,
  {
    probeReach,
    countRunning,
    directory,
    fleetLoad,
    gossip,
    isDraining,
    isReady,
    lender,
    limitOwner,
    log,
    metrics,
    places,
    relay,
    rolloutJudge,
    roomOwner,
    scheduling,
    sharing,
  }: EndpointParts,
): Promise<Result<Endpoints, ListenError>> => {
  const readiness = new Hono();
  readiness.get(PATHS.ready, (call) =>
    call.text(isReady() ? 'ready' : 'not ready', isReady() ? READY_STATUS : NOT_READY_STATUS),
  );
  const metricsApp = new Hono();
  metricsApp.get('/metrics', async (call) =>
    call.body(await metrics.render(), READY_STATUS, { 'content-type': metrics.contentType }),
  );
  const servers: ListeningServer[] = [];
  const stop = async (): Promise<void> => {
    await Promise.all(servers.map((server) => server.stop()));
  };
  const listeners = [
    { app: readiness, address: settings.readinessAddress },
    { app: metricsApp, address: settings.metricsAddress },
  ];
  for (const { address, app } of listeners) {
    const started = await startCallerServer(app, parseAddress(address));
    if (started.isErr()) {
      await stop();
      return err(started.error);
    }
    servers.push(started.value);
  }
  const peers = await startGatewayServer(
    {
      log,
      relay,
      handlers: createGatewayHandlers({
        handleKnowledge: gossip.handleKnowledge,
        lendRetry: lender.lendRetry,
        handleReturnedRetry: lender.handleReturned,
        recordToldPrompt: directory.recordPeerPrompt,
        handleReservation: places.handleReservation,
        handlePermit: limitOwner.handlePermitRequest,
        releasePermit: limitOwner.releasePermit,
        handleRoomRequest: roomOwner.handleRoomRequest,
        releaseRoom: roomOwner.releaseRoom,
        handleReachRequest: async (question) => ({
          ...(isDraining() ? { reachedIds: [], reachesAny: false } : await probeReach(question)),
          running: countRunning(),
        }),
        handleReport: rolloutJudge.handleReport,
        handleRequest: sharing.handleRequest,
        handleScheduleRequest: scheduling.registry.handleRequest,
        handleDelivery: scheduling.client.handleDelivery,
        handleLoadReport: fleetLoad.handleReport,
        handleLoadExchange: fleetLoad.handleExchange,
      }),
    },
    parseAddress(settings.peerAddress),
  );
  if (peers.isErr()) {
    await stop();
    return err(peers.error);
  }
  servers.push(peers.value);
  return ok({
    readinessUrl: servers[0]?.url ?? '',
    metricsUrl: servers[1]?.url ?? '',
    stop,
  });
};
