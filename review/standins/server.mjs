// Stand-in of a backend server (PROTOCOL.md, "Servers"): it has slots and a short queue, answers 503
// with Jackdawmount-Not-Executed when it is full, and echoes the id of each request.
import { createServer } from 'node:http';
import { once } from 'node:events';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/**
 * Starts a server on a free port of 127.0.0.1.
 *
 * @param options.handle - answers a request that runs: `(request, response, run) => void | Promise`
 * @param options.beforeRequest - called with the connection and the id of each request that arrives
 * @param options.beforeAnswer - called with each answer `{ status, headers, body, socket }` before
 *   it is sent
 */
export const startServer = async ({
  id,
  record,
  port = 0,
  slots = 6,
  queue = 24,
  workMs = 20,
  handle = null,
  beforeAnswer = () => undefined,
  beforeRequest = () => undefined,
  afterAnswer = () => undefined,
  buildBody = () => Buffer.alloc(800, 'a'),
}) => {
  const sockets = new Set();
  let running = 0;
  const waiting = [];

  const formatLoad = () => `${running},${waiting.length},${slots}`;

  const answer = (request, response, status, headers, body) => {
    const { socket } = request;
    if (socket.destroyed) return;
    const sent = {
      status,
      headers: {
        'Content-Length': String(body.length),
        'Jackdawmount-Attempt-Id': String(request.headers['jackdawmount-attempt-id'] ?? ''),
        'Jackdawmount-Server-Load': formatLoad(),
        ...headers,
      },
      body,
      socket,
    };
    beforeAnswer(sent);
    response.writeHead(status, sent.headers);
    response.end(body, () => afterAnswer(sent));
  };

  const finish = () => {
    running -= 1;
    waiting.shift()?.();
  };

  const execute = async (request, response, body) => {
    running += 1;
    const requestId = String(request.headers['jackdawmount-attempt-id']);
    record.add('run', { server: id, id: requestId, method: request.method, target: request.url });
    try {
      if (handle) await handle(request, response, { id: requestId, body });
      else {
        await new Promise((resolve) => setTimeout(resolve, workMs));
        answer(
          request,
          response,
          200,
          { 'Jackdawmount-Server-Stamp': `stamp.${id}.${requestId}` },
          buildBody(requestId),
        );
      }
    } finally {
      finish();
    }
  };

  const receive = async (request, response) => {
    const { headers, url } = request;
    const body = await readBody(request);
    beforeRequest(request.socket, String(headers['jackdawmount-attempt-id'] ?? ''));
    if (url === '/healthz') {
      response.writeHead(200, {
        'Jackdawmount-Instance-Id': id,
        'Jackdawmount-Server-Load': formatLoad(),
      });
      response.end();
      return;
    }
    if (url === '/jackdawmount/report') {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(
        JSON.stringify({ queued: waiting.length, active: running, kv_used: 0, kv_total: 88000 }),
      );
      return;
    }
    if (url.startsWith('/jackdawmount/')) {
      response.writeHead(404);
      response.end();
      return;
    }
    const notRun = { 'Jackdawmount-Not-Executed': '1' };
    if (
      headers['jackdawmount-expect-instance'] !== undefined &&
      headers['jackdawmount-expect-instance'] !== id
    ) {
      answer(request, response, 421, notRun, Buffer.alloc(0));
      return;
    }
    if (running < slots) {
      await execute(request, response, body);
      return;
    }
    if (waiting.length >= queue) {
      record.add('rejected', { server: id, id: headers['jackdawmount-attempt-id'] });
      answer(request, response, 503, notRun, Buffer.from('full'));
      return;
    }
    await new Promise((resolve) => waiting.push(resolve));
    // A request whose connection has closed is dropped from the queue.
    if (request.socket.destroyed) waiting.shift()?.();
    else await execute(request, response, body);
  };

  const server = createServer((request, response) => {
    receive(request, response).catch((error) => {
      record.add('server-error', { server: id, reason: String(error) });
      request.socket.destroy();
    });
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.setMaxListeners(0);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => sockets.delete(socket));
  });
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  const address = `127.0.0.1:${server.address().port}`;
  return {
    id,
    address,
    countRunning: () => running,
    buildEntry: (change = {}) => ({
      service: 's',
      address,
      zone: 'z1',
      version: '1',
      slots,
      state: 'ready',
      warmup_left_ms: 0,
      sequence: 1,
      ...change,
    }),
    /** Ends the process: all connections are reset, and new ones refused. */
    crash: () => {
      server.close();
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
    stop: async () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};

/** A configuration with one safe, one unsafe and two streaming routes. */
export const buildConfiguration = (change = {}) => {
  const route = { host: 'a.example', service: 's', timeout_ms: 5000, priority: 2, max_attempts: 2 };
  return {
    version: 2,
    routes: [
      { ...route, name: 'safe', prefix: '/safe/', route_type: 'safe', latency_goal_ms: 200 },
      {
        ...route,
        name: 'unsafe',
        prefix: '/unsafe/',
        route_type: 'unsafe',
        latency_goal_ms: 200,
        max_attempts: 1,
      },
      {
        ...route,
        name: 'stream',
        prefix: '/stream/',
        route_type: 'streaming',
        timeout_ms: 25_000,
        latency_goal_ms: 4500,
        gap_goal_ms: 700,
        max_attempts: 5,
        resumable: true,
      },
    ],
    services: [{ name: 's', health_path: '/healthz', max_conns: 360 }],
    limits: {
      max_header_bytes: 8192,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 5000,
      idle_timeout_ms: 10_000,
    },
    tenants: [{ name: 'w1', api_keys: ['key-1'] }],
    ...change,
  };
};
