// A server crashes while a gateway is frozen, and its address is used again by a server of another
// service. The gateway reads the crashed server's last bytes when it wakes, takes the address for still
// reserved, and sends requests to the server of the other service.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from '../standins/client.mjs';
import { drawGateway, startGateway, wait } from '../standins/gateway.mjs';
import { runCase } from '../standins/record.mjs';
import { buildConfiguration, startServer } from '../standins/server.mjs';
import { startStore } from '../standins/store.mjs';

/** Time of the freeze; at most 4 s in the site file. */
const FREEZE_MS = 2800;
/** The server crashes this long after the start of the freeze. */
const CRASH_MS = 200;
/** After this time another server uses the address; at least `reuse_after_s`, which is 2. */
const REUSE_MS = 2550;
/** Time from a server's start to its first entry: `lag_ms` under `discovery` in the site file. */
const REGISTER_MS = 800;

const STREAM_CLIENTS = [4, 12];
const CALL_CLIENTS = 6;
/** Streams of the gateway that freezes are long, so that they run at the crash. */
const EVENTS = [300, 12];
const EVENT_MS = 30;

runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, temporary, parts, hasTrouble }) => {
    const store = await startStore();
    parts.push(store);
    const handle = async (request, response, { id }) => {
      const head = { 'Jackdawmount-Attempt-Id': id, 'Jackdawmount-Server-Stamp': `stamp.${id}` };
      if (!request.url.startsWith('/stream/')) {
        await wait(20);
        response.writeHead(200, { ...head, 'Content-Length': '2' });
        response.end('ok');
        return;
      }
      await wait(100);
      response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
      const first = Number(request.headers['last-event-id'] ?? 0) + 1;
      const events = EVENTS[Number(request.url.split('/')[2])];
      for (let number = first; number <= events && !request.socket.destroyed; number += 1) {
        response.write(`id: ${number}\ndata: piece ${number}\n\n`);
        await wait(EVENT_MS);
      }
      response.end();
    };
    const services = new Map();
    const startOne = async (id, service, port = 0) => {
      const server = await startServer({ id, record, slots: 16, handle, port });
      services.set(id, service);
      parts.push(server);
      return server;
    };
    const register = (server) =>
      store.write('servers', server.id, server.buildEntry({ service: services.get(server.id) }));
    const [first, second, other] = await Promise.all([
      startOne('i-model-1', 'model'),
      startOne('i-model-2', 'model'),
      startOne('i-desk-1', 'desk'),
    ]);
    const configuration = buildConfiguration({
      services: [
        { name: 'model', health_path: '/healthz', max_conns: 360 },
        { name: 'desk', health_path: '/healthz', max_conns: 360 },
      ],
    });
    configuration.routes.forEach((route) =>
      Object.assign(route, { service: route.name === 'stream' ? 'model' : 'desk' }),
    );
    store.write('op', 'config', configuration);
    [first, second, other].forEach(register);
    const drawn = await Promise.all(
      ['edge-1', 'edge-2'].map((name, index) => drawGateway(name, { zone: `z${index + 1}` })),
    );
    const seeds = drawn.map(({ ip, ports }) => `${ip}:${ports.control}`);
    const gateways = drawn.map((one) =>
      startGateway(one, { folder: temporary, store: store.address, seeds }),
    );
    parts.push(...gateways);
    for (const gateway of gateways)
      if (!(await gateway.waitUntilReady()))
        return { couldNotRun: `not ready: ${gateway.readLog()}` };
    await wait(3500);
    let isOver = false;
    const play = async (gateway, request) => {
      const client = createClient(gateways[gateway], record);
      parts.push(client);
      while (!isOver) {
        await client.send(request);
        await wait(30);
      }
    };
    const playStreams = (gateway) =>
      play(gateway, {
        path: `/stream/${gateway}`,
        deadlineMs: 14_000,
        headers: { 'Jackdawmount-Token-Count': '100,40' },
      });
    const playCalls = (_, index) =>
      play(index % 2, { path: '/safe/1', method: 'GET', deadlineMs: 4000 });
    const clients = [
      ...STREAM_CLIENTS.flatMap((count, gateway) =>
        Array.from({ length: count }, () => playStreams(gateway)),
      ),
      ...Array.from({ length: CALL_CLIENTS }, playCalls),
    ];
    await wait(3000);
    if (hasTrouble) {
      record.add('frozen', { gateway: 'edge-1' });
      gateways[0].kill('SIGSTOP');
      const wake = wait(FREEZE_MS).then(() => {
        gateways[0].kill('SIGCONT');
        record.add('woken', { gateway: 'edge-1' });
      });
      await wait(CRASH_MS);
      record.add('crashed', { server: first.id, address: first.address });
      first.crash();
      // The platform removes the entry after three heartbeats of silence.
      setTimeout(() => store.remove('servers', first.id), 3600);
      await wait(REUSE_MS);
      const successor = await startOne('i-desk-2', 'desk', Number(first.address.split(':')[1]));
      record.add('address used again', { server: successor.id, address: successor.address });
      await wait(REGISTER_MS);
      register(successor);
      record.add('registered', { server: successor.id });
      await wake;
    }
    await wait(4000);
    isOver = true;
    await Promise.all(clients);
    const allowed = (target) => (target.startsWith('/stream/') ? 'model' : 'desk');
    const foreign = record
      .list('run')
      .filter(({ server, target }) => services.get(server) !== allowed(target));
    const byGateway = (port) => {
      const ids = new Set(
        record
          .list('sent')
          .filter(({ gateway }) => gateway === port)
          .map(({ id }) => id),
      );
      return foreign.filter(({ id }) => ids.has(id)).length;
    };
    return {
      isBroken: foreign.length > 0,
      requests: record.list('answered').length,
      served: record.list('answered').filter(({ status }) => status === 200).length,
      runByAnotherService: foreign.length,
      ofTheseSentByTheFrozenGateway: byGateway(drawn[0].ports.front),
      ofTheseSentByTheOther: byGateway(drawn[1].ports.front),
      examples: foreign
        .slice(0, 3)
        .map(({ atMs, id, server, target }) => ({ atMs, id, server, target })),
    };
  },
);
