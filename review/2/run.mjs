// Servers answer without a length, and some of these answers are reset in the middle of the body. The
// gateway hands many of them to its clients as whole answers, and ends streams as whole that it could
// have resumed.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { createClient } from '../standins/client.mjs';
import { drawGateway, startGateway, wait } from '../standins/gateway.mjs';
import { runCase } from '../standins/record.mjs';
import { buildConfiguration, startServer } from '../standins/server.mjs';
import { startStore } from '../standins/store.mjs';

/** Dose of `garble`, `unframed` in the site files' standard days. */
const RATE = 0.05;
const TROUBLE_MS = 5000;

const SERVERS = 3;
const CLIENTS = 20;
const ANSWER_BYTES = 800;
const WORK_MS = 20;
const PAUSE_MS = 40;
const DURATION_MS = 11_000;
const TROUBLE_AT_MS = 4000;
const STREAM_CLIENTS = 8;
const EVENTS = 12;
const EVENT_MS = 30;

runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, temporary, parts, hasTrouble }) => {
    const store = await startStore();
    parts.push(store);
    let isFaulty = false;
    const reset = new Set();
    const buildBody = (id) => Buffer.from(id.repeat(ANSWER_BYTES / id.length));
    const formatEvent = (id, number) => `id: ${number}\ndata: ${id} piece ${number}\n\n`;
    /** A stream, in chunks or without a length; the latter are reset right after an event. */
    const handleStream = async (request, response, id) => {
      const { headers, socket } = request;
      await wait(WORK_MS);
      const isUnframed = isFaulty && Math.random() < RATE;
      const lastEvent = isUnframed && hasTrouble ? EVENTS / 2 : EVENTS;
      const head = {
        'Content-Type': 'text/event-stream',
        'Jackdawmount-Attempt-Id': id,
        'Jackdawmount-Server-Stamp': `stamp.${id}`,
      };
      if (isUnframed) {
        const lines = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`);
        socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${lines.join('')}\r\n`);
      } else response.writeHead(200, head);
      const first = Number(headers['last-event-id'] ?? 0) + 1;
      for (let number = first; number <= lastEvent && !socket.destroyed; number += 1) {
        await wait(EVENT_MS);
        (isUnframed ? socket : response).write(formatEvent(id, number));
      }
      if (!isUnframed) response.end();
      else if (!hasTrouble) socket.end();
      else {
        reset.add(id);
        record.add('reset', { id, sentEvents: lastEvent });
        setImmediate(() => socket.resetAndDestroy());
      }
    };
    const handle = async (request, response, { id }) => {
      const { socket } = request;
      if (request.url.startsWith('/stream/')) {
        await handleStream(request, response, id);
        return;
      }
      await wait(WORK_MS);
      const body = buildBody(id);
      const isUnframed = isFaulty && Math.random() < RATE;
      const framing = isUnframed ? 'Connection: close' : `Content-Length: ${body.length}`;
      const head =
        `HTTP/1.1 200 OK\r\n${framing}\r\nJackdawmount-Attempt-Id: ${id}\r\n` +
        `Jackdawmount-Server-Stamp: stamp.${id}\r\n\r\n`;
      if (!isUnframed) socket.write(Buffer.concat([Buffer.from(head), body]));
      // The same without the disruption: the whole answer, and the end of the connection.
      else if (!hasTrouble) socket.end(Buffer.concat([Buffer.from(head), body]));
      else {
        reset.add(id);
        record.add('reset', { id, sentBytes: body.length / 2 });
        socket.write(Buffer.concat([Buffer.from(head), body.subarray(0, body.length / 2)]));
        setImmediate(() => socket.resetAndDestroy());
      }
    };
    const servers = await Promise.all(
      Array.from({ length: SERVERS }, (_, index) =>
        startServer({ id: `i-${index}`, record, slots: 16, handle }),
      ),
    );
    parts.push(...servers);
    store.write('op', 'config', buildConfiguration());
    servers.forEach((server) => store.write('servers', server.id, server.buildEntry()));
    const gateway = startGateway(await drawGateway('edge-1'), {
      folder: temporary,
      store: store.address,
    });
    parts.push(gateway);
    if (!(await gateway.waitUntilReady()))
      return { couldNotRun: `not ready: ${gateway.readLog()}` };
    await wait(1000);
    const endMs = performance.now() + DURATION_MS;
    const partial = [];
    const wrong = [];
    const play = async (_, index) => {
      const client = createClient(gateway, record);
      parts.push(client);
      while (performance.now() < endMs) {
        const answer = await client.send(
          index % 2 === 0
            ? { path: '/unsafe/1', deadlineMs: 2500 }
            : { path: '/safe/1', method: 'GET', deadlineMs: 2500 },
        );
        if (answer.status === 200 && answer.isComplete && !answer.body.equals(buildBody(answer.id)))
          (reset.has(answer.id) ? partial : wrong).push({
            id: answer.id,
            bytes: answer.body.length,
            signed: answer.headers['jackdawmount-server-stamp'] !== undefined,
          });
        await wait(PAUSE_MS);
      }
    };
    const partialStreams = [];
    const playStreams = async () => {
      const client = createClient(gateway, record);
      parts.push(client);
      while (performance.now() < endMs) {
        const { body, id, isComplete, status } = await client.send({
          path: '/stream/1',
          deadlineMs: 10_000,
          headers: { 'Jackdawmount-Token-Count': '100,12' },
        });
        const whole = Array.from({ length: EVENTS }, (__, index) => formatEvent(id, index + 1));
        if (status === 200 && isComplete && body.toString() !== whole.join(''))
          partialStreams.push({ id, events: body.toString().split('\n\n').length - 1 });
        await wait(PAUSE_MS);
      }
    };
    const clients = [
      ...Array.from({ length: CLIENTS }, play),
      ...Array.from({ length: STREAM_CLIENTS }, playStreams),
    ];
    await wait(TROUBLE_AT_MS);
    isFaulty = true;
    await wait(TROUBLE_MS);
    isFaulty = false;
    await Promise.all(clients);
    const answers = record.list('answered');
    return {
      isBroken: partial.length > 0 || wrong.length > 0 || partialStreams.length > 0,
      requests: answers.length,
      served: answers.filter(({ status }) => status === 200).length,
      failed: answers.filter(({ status }) => status !== 200).length,
      resetAnswers: reset.size,
      partialAnswersTakenAsWhole: partial.length,
      otherWrongAnswers: wrong.length,
      partialStreamsEndedAsWhole: partialStreams.length,
      examples: [...partial.slice(0, 3), ...partialStreams.slice(0, 3)],
    };
  },
);
