// Traffic that the build sends through the bundled gateway before it writes the code cache:
// lookups, streams, one of them resumed at another server, and calls between VMs. Part of target/.
import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { startGateway } from '../../src/programs/gateway';
import { findFreePort } from '../../standins/_lib/findFreePort';
import {
  buildGatewaySettings,
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  TEST_KEY,
  type ReceivedRequest,
  type StandInServer,
} from '../../standins/gateway';

/** Settings and traffic of the gateway that is warmed up. */
export interface WarmUp {
  /** Text of the gateway's settings file. */
  readonly settings: string;
  /** Sends requests through the gateway; resolves when they have ended. */
  sendTraffic(): Promise<void>;
}

const LOOKUPS = 30;
const EVENTS = 20;
/** The server of one stream resets the connection after this event. */
const CRASH_AFTER_EVENT = 10;
const EVENT_MS = 10;
const RETRY_MS = 50;
const MAX_READY_TRIES = 100;

/** Answers a stream event by event, starting after the last event that the caller has. */
const sendStream = async (server: StandInServer, request: ReceivedRequest): Promise<void> => {
  server.startStream(request);
  const first = Number(request.headers[HEADERS.lastEventId] ?? 0) + 1;
  for (let id = first; id <= EVENTS && !request.response.destroyed; id += 1) {
    server.sendEvents(request, id, id);
    if (id === CRASH_AFTER_EVENT && request.target.endsWith('crash') && first === 1) {
      request.socket.resetAndDestroy();
      return;
    }
    await wait(EVENT_MS);
  }
  request.response.end();
};

const serve = (server: StandInServer): void =>
  server.addListener(() => {
    const request = server.takeRequest();
    if (!request) return;
    if (request.target.startsWith('/stream/')) sendStream(server, request);
    else server.answer(request, 200, 'answer');
  });

/** Sends a request and returns the status of the answer, 0 without one. */
const send = async (port: number, path: string, id: string): Promise<number> => {
  const sent = sendRequest({
    host: '127.0.0.1',
    port,
    path,
    method: path.startsWith('/safe/') ? 'GET' : 'POST',
    headers: {
      host: 'a.example',
      [HEADERS.requestId]: id,
      [HEADERS.deadlineMs]: '4000',
      [HEADERS.tokenSizes]: '8000,900',
      [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
    },
  });
  sent.end();
  try {
    const [answer] = (await once(sent, 'response')) as [IncomingMessage];
    for await (const chunk of answer) if (!chunk) break;
    return answer.statusCode ?? 0;
  } catch {
    return 0;
  }
};

/** Starts a store, servers, and a second gateway as a peer of the one that is warmed up. */
export const startWarmUp = async (): Promise<WarmUp> => {
  const store = await createStandInStore();
  const servers = await Promise.all(['i-1', 'i-2', 'i-3'].map((id) => createStandInServer(id)));
  servers.forEach((server, index) => {
    serve(server);
    const entry = buildWireEntry(server, { zone: `z${index + 1}` });
    store.writeRow(TABLES.servers, server.id, entry);
  });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  const [callers, peers, others] = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
  const own = buildGatewaySettings(store.url);
  const other = await startGateway({
    ...own,
    vm: 'vm-2',
    peerAddress: `127.0.0.1:${others}`,
    seedAddresses: [`127.0.0.1:${peers}`],
    bounds: { ...own.bounds, settleMs: 5000, changeMs: 4000 },
  });
  if (other.isErr()) throw new Error(other.error.reason);
  return {
    settings: `node_name = "vm-1"
ip = "127.0.0.1"
zone = "z1"
internal_ports = [0, 0]
seeds = ["127.0.0.1:${others}"]
[listen]
frontend = "127.0.0.1:${callers}"
readiness = "127.0.0.1:0"
control_plane = "127.0.0.1:${peers}"
[bounds]
contact_ms = 5000
config_apply_ms = 4000
drain_ms = 4000
[platform]
address = "${new URL(store.url).host}"
`,
    sendTraffic: async () => {
      for (let tries = 0; tries < MAX_READY_TRIES; tries += 1) {
        if ((await send(callers, '/safe/ready', `ready-${tries}`)) === 200) break;
        await wait(RETRY_MS);
      }
      const streams = ['a', 'b', 'crash'].map((name) => send(callers, `/stream/${name}`, name));
      for (let count = 0; count < LOOKUPS; count += 1) {
        await send(callers, count % 2 === 0 ? '/safe/x' : '/unsafe/x', `lookup-${count}`);
      }
      await Promise.all(streams);
    },
  };
};
