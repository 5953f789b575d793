import { randomInt, randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../../../platform';
import {
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  TEST_KEY,
  type ReceivedRequest,
  type StandInServer,
} from '../../../../standins/gateway';
import { findRetryExcess, type RetryExcess } from '../../../../standins/retries';
import { startCuttableProxy } from '../startCuttableProxy';
import { buildPeerAddress, startGatewayProcess, type GatewayProcess } from '../startGatewayProcess';

/** Gateways in processes of their own, and servers that count what arrives. */
export interface RetryFleet {
  readonly count: number;
  /** Sends this many requests at once to a gateway; resolves with their statuses. */
  sendBurst(index: number, requests: number): Promise<readonly number[]>;
  kill(index: number): Promise<void>;
  /** Sends SIGTERM to a gateway. */
  terminate(index: number): void;
  start(index: number): Promise<void>;
  /** Stops the processes of all gateways for some time; callers and servers go on. */
  freezeGateways(durationMs: number): Promise<void>;
  /** Lets all servers stand still for some time: then they read what came meanwhile. */
  holdServers(durationMs: number): Promise<void>;
  /** Finds the window with most repeats in relation to the bounds, over all VMs. */
  findExcess(): RetryExcess;
  countRepeats(): number;
  readLines(index: number): GatewayProcess['lines'];
  stop(): Promise<void>;
}

/** Options of a fleet. */
export interface RetryFleetOptions {
  readonly count: number;
  /** False if no gateway knows an address of another one. */
  readonly isConnected?: boolean;
  /** Path of the requests; by default of a route that may be repeated. */
  readonly target?: string;
  /** Answers a request; by default the server fails it. */
  readonly answer?: (server: StandInServer, received: ReceivedRequest) => void;
  /** Time that a caller waits, in milliseconds; 4 s by default. */
  readonly deadlineMs?: number;
}

/** Bounds that the gateways are told. */
export const RETRY_BOUNDS = { retryRatio: 0.8, retryWindowMs: 10_000, retryExtra: 150 } as const;

const SERVERS = 6;

const DEFAULT_DEADLINE_MS = 4000;

const fail = (server: StandInServer, received: ReceivedRequest): void =>
  server.answer(received, 500, 'failed');

const sendRequest = async (url: string, requestId: string, deadlineMs: number): Promise<number> => {
  try {
    const response = await request(url, {
      headers: {
        host: 'a.example',
        [HEADERS.requestId]: requestId,
        [HEADERS.deadlineMs]: String(deadlineMs),
        [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
      },
      signal: AbortSignal.timeout(deadlineMs),
    });
    await response.body.text();
    return response.statusCode;
  } catch {
    return 0;
  }
};

/** Starts gateways that share a store, and resolves once all are ready. */
export const startRetryFleet = async ({
  answer = fail,
  count,
  deadlineMs = DEFAULT_DEADLINE_MS,
  isConnected = true,
  target = '/safe/x',
}: RetryFleetOptions): Promise<RetryFleet> => {
  const requestsAtMs: number[] = [];
  const repeatsAtMs: number[] = [];
  const arrivedIds = new Set<string>();
  const servers = await Promise.all(
    Array.from({ length: SERVERS }, (_, index) => createStandInServer(`i-${index}`)),
  );
  servers.forEach((server) =>
    server.addListener(() => {
      const received = server.takeRequest();
      if (!received) return;
      const id = String(received.headers[HEADERS.requestId]);
      if (arrivedIds.has(id)) repeatsAtMs.push(performance.now());
      arrivedIds.add(id);
      answer(server, received);
    }),
  );
  const store = await createStandInStore();
  const links = await Promise.all(servers.map(({ address }) => startCuttableProxy(address)));
  servers.forEach((server, index) => {
    const address = links[index]?.address;
    store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { address }));
  });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  const network = `127.${randomInt(1, 255)}.${randomInt(0, 255)}`;
  const ips = Array.from({ length: count }, (_, index) => `${network}.${index + 1}`);
  const gateways = new Map<number, GatewayProcess>();

  const start = async (index: number, isFirstStart = false): Promise<void> => {
    const gateway = await startGatewayProcess({
      vm: `vm-${index}`,
      zone: `z${(index % 3) + 1}`,
      ip: ips[index] ?? '',
      seeds: isConnected ? ips.slice(0, 3).map(buildPeerAddress) : [],
      storeUrl: store.url,
      isFirstStart,
    });
    gateways.set(index, gateway);
  };
  const stop = async (): Promise<void> => {
    await Promise.all([...gateways.values()].map((gateway) => gateway.stop()));
    await Promise.all([...links, ...servers, store].map((part) => part.stop()));
  };
  const started = await Promise.allSettled(ips.map((_, index) => start(index, true)));
  if (started.some(({ status }) => status === 'rejected')) {
    await stop();
    throw new Error('a gateway did not start');
  }

  return {
    count,
    start,
    stop,
    freezeGateways: async (durationMs) => {
      const frozen = [...gateways.values()];
      frozen.forEach((gateway) => gateway.freeze());
      await wait(durationMs);
      frozen.forEach((gateway) => gateway.resume());
    },
    holdServers: async (durationMs) => {
      await Promise.all(links.map((link) => link.cut('hold')));
      await wait(durationMs);
      await Promise.all(links.map((link) => link.restore()));
    },
    terminate: (index) => gateways.get(index)?.terminate(),
    kill: async (index) => {
      await gateways.get(index)?.stop();
      gateways.delete(index);
    },
    sendBurst: (index, requests) =>
      Promise.all(
        Array.from({ length: requests }, () => {
          requestsAtMs.push(performance.now());
          return sendRequest(
            `${gateways.get(index)?.callerUrl}${target}`,
            randomUUID(),
            deadlineMs,
          );
        }),
      ),
    findExcess: () => findRetryExcess({ requestsAtMs, repeatsAtMs }, RETRY_BOUNDS),
    countRepeats: () => repeatsAtMs.length,
    readLines: (index) => gateways.get(index)?.lines ?? [],
  };
};
