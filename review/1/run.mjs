// An answer that refuses one request arrives late, where the answer to the next request is expected.
// It names the first request, but it is taken for a refusal of the second one, which runs.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from '../standins/client.mjs';
import { drawGateway, startGateway, wait } from '../standins/gateway.mjs';
import { runCase } from '../standins/record.mjs';
import { buildConfiguration, startServer } from '../standins/server.mjs';
import { startStore } from '../standins/store.mjs';

/** Largest doses of `garble`, `extra late` in the site files: share of servers and of answers. */
const SHARE = 0.6;
const RATE = 0.03;
const TROUBLE_MS = 5000;

const SERVERS = 5;
const GATEWAYS = 2;
const CLIENTS = 50;
/** Pause of a client between two requests. */
const PAUSE_MS = 50;
const DURATION_MS = 12_000;
const TROUBLE_AT_MS = 4000;

const formatAnswer = ({ status, headers, body }) => {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Extra\r\n${lines.join('')}\r\n`), body]);
};

runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, temporary, parts, hasTrouble }) => {
    const store = await startStore();
    parts.push(store);
    let isTrouble = false;
    /** Copies of answers that are still to be sent, by connection. */
    const extras = new Map();
    const startOne = async (index) => {
      const isFaulty = index < Math.floor(SERVERS * SHARE);
      const server = await startServer({
        id: `i-${index}`,
        record,
        slots: 3,
        queue: 1,
        workMs: 20,
        beforeRequest: (socket, requestId) => {
          const extra = extras.get(socket);
          if (!extra) return;
          extras.delete(socket);
          record.add('extra', { server: `i-${index}`, ...extra.names, before: requestId });
          socket.write(extra.bytes);
        },
        afterAnswer: (sent) => {
          if (!isTrouble || !isFaulty || Math.random() >= RATE) return;
          const names = { id: sent.headers['Jackdawmount-Attempt-Id'], status: sent.status };
          extras.set(sent.socket, { names, bytes: formatAnswer(sent) });
        },
      });
      parts.push(server);
      return server;
    };
    const servers = await Promise.all(
      Array.from({ length: SERVERS }, (_, index) => startOne(index)),
    );
    store.write('op', 'config', buildConfiguration());
    servers.forEach((server) => store.write('servers', server.id, server.buildEntry()));
    const drawn = await Promise.all(
      Array.from({ length: GATEWAYS }, (_, index) => drawGateway(`edge-${index + 1}`)),
    );
    const seeds = drawn.map(({ ip, ports }) => `${ip}:${ports.control}`);
    const gateways = drawn.map((one) =>
      startGateway(one, { folder: temporary, store: store.address, seeds }),
    );
    parts.push(...gateways);
    for (const gateway of gateways)
      if (!(await gateway.waitUntilReady()))
        return { couldNotRun: `not ready: ${gateway.readLog()}` };
    await wait(1000);
    const endMs = performance.now() + DURATION_MS;
    const play = async (_, index) => {
      const client = createClient(gateways[index % GATEWAYS], record);
      parts.push(client);
      while (performance.now() < endMs) {
        await client.send({ path: '/unsafe/1', deadlineMs: 2500 });
        await wait(PAUSE_MS * (0.5 + Math.random()));
      }
    };
    const clients = Array.from({ length: CLIENTS }, play);
    await wait(TROUBLE_AT_MS);
    isTrouble = hasTrouble;
    await wait(TROUBLE_MS);
    isTrouble = false;
    await Promise.all(clients);
    const runsById = new Map();
    for (const { id, server } of record.list('run'))
      runsById.set(id, [...(runsById.get(id) ?? []), server]);
    const twice = [...runsById].filter(([, runs]) => runs.length > 1).map(([id]) => id);
    const answers = record.list('answered');
    const refused = answers
      .filter(({ status }) => [408, 421, 429, 503].includes(status))
      .filter(({ id }) => runsById.has(id))
      .map(({ id }) => id);
    const count = (status) => answers.filter((one) => one.status === status).length;
    return {
      isBroken: twice.length > 0 || refused.length > 0,
      requests: answers.length,
      served: count(200),
      refusedWithoutRun: count(503) - refused.length,
      rejections: record.list('rejected').length,
      extras: record.list('extra').length,
      extraRefusals: record.list('extra').filter(({ status }) => status === 503).length,
      twice,
      refusedButRun: refused,
    };
  },
);
