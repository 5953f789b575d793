// Demo of the gateway on stand-ins of the platform: a server crashes in mid-stream, and the caller
// still receives one complete answer. Run it with `npm run demo:platform`.
import { once } from 'node:events';
import { request as sendRequest, type IncomingMessage } from 'node:http';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import type { EventLog } from '../../src/application/ports';
import { startGateway } from '../../src/programs/gateway';
import {
  buildGatewaySettings,
  buildWireConfiguration,
  buildWireEntry,
  createStandInServer,
  createStandInStore,
  type ReceivedRequest,
  TEST_KEY,
  type StandInServer,
} from '../../standins/gateway';

const EVENTS = 60;
const KILL_AT = 25;
const EVENT_MS = 30;

/** Log messages that the demo prints; all others are omitted. */
const SHOWN_MESSAGES: readonly string[] = [
  'stream sent',
  'stream broke off',
  'server silent',
  'stream ended',
];

const write = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/** Sends events after the caller's last one, until all are sent or the server has crashed. */
const generate = (
  server: StandInServer,
  request: ReceivedRequest,
  onEvent: (id: number) => void,
) => {
  let id = Number(request.headers[HEADERS.lastEventId] ?? 0);
  server.startStream(request);
  const timer = setInterval(() => {
    id += 1;
    if (request.response.destroyed || id > EVENTS) {
      clearInterval(timer);
      request.response.end();
      return;
    }
    server.sendEvents(request, id, id);
    onEvent(id);
  }, EVENT_MS);
};

const store = await createStandInStore();
const servers = await Promise.all(['i-1', 'i-2', 'i-3'].map((id) => createStandInServer(id)));
servers.forEach((server, index) =>
  store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { zone: `z${index + 1}` })),
);
store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());

let recordKnownServer = (): void => undefined;
const allServersKnown = new Promise<void>((resolve) => {
  let known = 0;
  recordKnownServer = () => {
    known += 1;
    if (known === servers.length) resolve();
  };
});
const handleLogLine: EventLog['info'] = (message, fields) => {
  if (message === 'server known') recordKnownServer();
  if (SHOWN_MESSAGES.includes(message)) write(`  ${message} ${JSON.stringify(fields)}`);
};
const started = await startGateway(buildGatewaySettings(store.url), {
  log: { info: handleLogLine, warn: handleLogLine, error: handleLogLine },
});
if (started.isErr()) throw new Error(started.error.reason);
const gateway = started.value;
await allServersKnown;

let killed = false;
servers.forEach((server) => {
  const handleNextRequest = (): void => {
    const request = server.takeRequest();
    if (!request) return;
    generate(server, request, (id) => {
      if (killed || id !== KILL_AT) return;
      killed = true;
      write(`${server.id} crashes after event ${id}`);
      server.crash();
    });
  };
  server.addListener(handleNextRequest);
});

const sent = sendRequest(`${gateway.callerUrl}/stream/letter`, {
  method: 'POST',
  headers: {
    host: 'a.example',
    [HEADERS.authorization]: `Bearer ${TEST_KEY}`,
    [HEADERS.requestId]: 'demo-1',
    [HEADERS.deadlineMs]: '20000',
    [HEADERS.tokenSizes]: '8000,900',
  },
});
sent.end('a pile of council correspondence');
const [answer] = (await once(sent, 'response')) as [IncomingMessage];
let body = '';
for await (const chunk of answer) body += String(chunk);

const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
const missing = EVENTS - new Set(ids).size;
const repeated = ids.length - new Set(ids).size;
const verdict = missing === 0 && repeated === 0 && answer.complete ? 'ok' : 'failed';
write(`demo: ${verdict} events=${ids.length} missing=${missing} repeated=${repeated}`);
await gateway.stop();
await Promise.all([store.stop(), ...servers.map((server) => server.stop())]);
process.exitCode = verdict === 'ok' ? 0 : 1;
