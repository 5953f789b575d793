// A gateway gets SIGTERM while clients still read answers that it has taken whole from the server. It
// ends 2.5 s later and cuts them off, long before the end of the time it has. An answer without a
// length that is cut off so looks complete.
import { connect } from 'node:net';
import { randomBytes } from 'node:crypto';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { drawGateway, startGateway, wait } from '../standins/gateway.mjs';
import { runCase } from '../standins/record.mjs';
import { buildConfiguration, startServer } from '../standins/server.mjs';
import { startStore } from '../standins/store.mjs';

const CLIENTS = 6;
const ANSWER_BYTES = 8 * 1024 * 1024 - 65536;
/** A client reads this much each 50 ms: 1.1 MB a second, so that the whole answer takes 7 s. */
const PART_BYTES = 58 * 1024;
const PART_MS = 50;
const TERM_AT_MS = 300;
const GRACE_MS = 8000;
const DEADLINE_MS = 20_000;

const waitReadable = (socket) =>
  new Promise((resolve) => {
    const finish = () => {
      socket.off('readable', finish);
      socket.off('end', finish);
      socket.off('close', finish);
      resolve();
    };
    socket.on('readable', finish);
    socket.on('end', finish);
    socket.on('close', finish);
  });

/** Sends one request and reads its answer slowly, without a pause longer than PART_MS. */
const readSlowly = async ({ ip, ports }, record, path) => {
  const id = randomBytes(8).toString('hex');
  const socket = connect({ host: ip, port: ports.front, highWaterMark: PART_BYTES });
  let error = null;
  let hasEnded = false;
  socket.on('error', (reason) => {
    error = reason.code;
  });
  socket.on('end', () => {
    hasEnded = true;
  });
  record.add('sent', { id, path });
  socket.write(
    `GET ${path} HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n` +
      `Jackdawmount-Attempt-Id: ${id}\r\nJackdawmount-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
  );
  const sentAtMs = performance.now();
  const parts = [];
  let head = null;
  let bytes = 0;
  const endMs = sentAtMs + DEADLINE_MS;
  const isWhole = () => {
    if (!head) return false;
    return head.length === null ? hasEnded : bytes >= head.length;
  };
  while (performance.now() < endMs && !isWhole() && !socket.destroyed) {
    const part = socket.read(Math.min(PART_BYTES, socket.readableLength)) ?? null;
    if (part === null) {
      if (hasEnded) break;
      await Promise.race([waitReadable(socket), wait(500)]);
      continue;
    }
    parts.push(part);
    if (!head) {
      const text = Buffer.concat(parts);
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) continue;
      const lines = text.subarray(0, end).toString('latin1').toLowerCase();
      const length = /\r\ncontent-length: *(\d+)/.exec(lines)?.[1];
      head = {
        status: Number(lines.split(' ')[1]),
        length: length === undefined ? null : Number(length),
        isSigned: lines.includes('\r\njackdawmount-server-stamp:'),
      };
      parts.splice(0, parts.length, text.subarray(end + 4));
      bytes = parts[0].length;
    } else bytes += part.length;
    await wait(PART_MS);
  }
  const body = Buffer.concat(parts);
  const answer = {
    id,
    path,
    status: head?.status ?? 0,
    announcedBytes: head?.length ?? null,
    isSigned: head?.isSigned ?? false,
    bytes: body.length,
    // Closed in order (no reset), as at the end of an answer without a length.
    endedInOrder: hasEnded && error === null,
    error,
    tookMs: Math.round(performance.now() - sentAtMs),
  };
  record.add('answered', answer);
  socket.destroy();
  return { ...answer, body };
};

runCase(
  dirname(fileURLToPath(import.meta.url)),
  async ({ record, temporary, parts, hasTrouble }) => {
    const store = await startStore();
    parts.push(store);
    const answers = new Map();
    const server = await startServer({
      id: 'i-0',
      record,
      slots: 16,
      // Paths with `plain` get an answer without a length, which ends with its connection.
      handle: async (request, response, { id }) => {
        await wait(50);
        const body = Buffer.concat([Buffer.from(id), randomBytes(ANSWER_BYTES - id.length)]);
        answers.set(id, body);
        const { socket } = request;
        const length = request.url.includes('plain')
          ? 'Connection: close'
          : `Content-Length: ${body.length}`;
        socket.write(
          `HTTP/1.1 200 OK\r\n${length}\r\nJackdawmount-Attempt-Id: ${id}\r\n` +
            `Jackdawmount-Server-Stamp: stamp.${id}\r\n\r\n`,
        );
        await new Promise((resolve) => socket.write(body, resolve));
        socket.end();
        record.add('whole answer sent by the server', { id, bytes: body.length });
      },
    });
    parts.push(server);
    const configuration = buildConfiguration();
    configuration.routes.forEach((route) => Object.assign(route, { timeout_ms: 25_000 }));
    store.write('op', 'config', configuration);
    store.write('servers', server.id, server.buildEntry());
    const gateway = startGateway(await drawGateway('edge-1'), {
      folder: temporary,
      store: store.address,
    });
    parts.push(gateway);
    if (!(await gateway.waitUntilReady()))
      return { couldNotRun: `not ready: ${gateway.readLog()}` };
    await wait(3500);
    const reads = Array.from({ length: CLIENTS }, (_, index) =>
      readSlowly(gateway, record, index % 2 === 0 ? '/safe/plain' : '/safe/length'),
    );
    await wait(TERM_AT_MS);
    const termAtMs = performance.now();
    if (hasTrouble) {
      record.add('SIGTERM', { gateway: gateway.name });
      gateway.kill('SIGTERM');
      gateway.ended.then((end) =>
        record.add('gateway ended', { ...end, afterMs: Math.round(performance.now() - termAtMs) }),
      );
      // As the platform does.
      setTimeout(() => gateway.isRunning() && gateway.kill('SIGKILL'), GRACE_MS).unref();
    }
    const results = await Promise.all(reads);
    const isCut = (one) => one.status === 200 && one.bytes < ANSWER_BYTES;
    const cut = results.filter(isCut);
    const lookComplete = cut.filter((one) => one.announcedBytes === null && one.endedInOrder);
    const wrong = results.filter(
      (one) => one.status === 200 && !isCut(one) && !answers.get(one.id)?.equals(one.body),
    );
    return {
      isBroken: lookComplete.length > 0 || wrong.length > 0,
      requests: results.length,
      whole: results.filter((one) => one.status === 200 && !isCut(one)).length,
      other: results.filter((one) => one.status !== 200).length,
      cut: cut.length,
      cutThatLookComplete: lookComplete.map(({ bytes, id, tookMs }) => ({ id, bytes, tookMs })),
      wrong: wrong.length,
      gatewayEnded: record.list('gateway ended').map(({ afterMs, code }) => ({ afterMs, code })),
    };
  },
);
