import { connect, type Socket } from 'node:net';
import test from 'ava';
import { ok } from 'neverthrow';
import { computeMemoryLimits, MemoryUse } from '../../../domain/overload';
import type { AnswerHead, ForwardedRequest, RequestHead } from '../../../domain/forwarding';
import type { CallerReply } from '../../../application/forwarding';
import { createMemoryBudget } from '../../../application/overload';
import { QUIET_LOG } from '../../../../standins/fakes';
import { createSystemClock } from '../../system';
import { startForwardingServer } from '.';

const MB = 1024 * 1024;
const IDLE_TIMEOUT_MS = 300;
const LIMITS = computeMemoryLimits({ memoryBytes: 100 * MB, baseBytes: 60 * MB });

const HEAD = { status: 200, forwardedHeaders: [], isFramed: true } as unknown as AnswerHead;

const POLL_MS = 5;
const MAX_POLLS = 1500;

const waitUntil = async (holds: () => boolean): Promise<void> => {
  for (let polls = 0; !holds(); polls += 1) {
    if (polls > MAX_POLLS) throw new Error('the condition never held');
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

/** Starts a server whose limits of held bytes are 12, 18 and 24 MB. */
const startFixture = async (
  forwardRequest: (request: ForwardedRequest, reply: CallerReply) => Promise<void>,
  { accepts = true, idleTimeoutMs = IDLE_TIMEOUT_MS } = {},
) => {
  const memory = createMemoryBudget({ limits: LIMITS, log: QUIET_LOG });
  const started = await startForwardingServer(
    {
      clock: createSystemClock(),
      log: QUIET_LOG,
      forwarder: { forwardRequest },
      gate: { acceptConnection: () => accepts },
      memory,
      findMemoryUse: ({ target }) => (target === '/stream' ? MemoryUse.Stream : MemoryUse.Call),
      decodeHead: ({ target }) =>
        ok({
          requestId: 'r',
          host: 'h',
          target,
          deadlineMs: null,
          lastEventId: null,
        } as RequestHead),
      readLimits: () => ({
        maxHeaderBytes: 4096,
        maxBodyBytes: 4 * MB,
        headerTimeoutMs: 1000,
        idleTimeoutMs,
      }),
      isLate: () => false,
      isClosing: () => false,
    },
    { host: '127.0.0.1', port: 0 },
  );
  const server = started._unsafeUnwrap();
  const sockets: Socket[] = [];
  /** Opens a connection that reads nothing before `resume`. */
  const open = (target: string, bodyBytes: number, sentBytes = bodyBytes): Socket => {
    const socket = connect(Number(new URL(server.url).port), '127.0.0.1');
    socket.on('error', () => undefined);
    sockets.push(socket);
    socket.write(`POST ${target} HTTP/1.1\r\nhost: h\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
    socket.write(Buffer.alloc(sentBytes));
    return socket;
  };
  const stop = async (): Promise<void> => {
    sockets.forEach((socket) => socket.destroy());
    await server.stop();
  };
  return { memory, open, stop };
};

const readAll = async (socket: Socket): Promise<string> => {
  let text = '';
  for await (const chunk of socket) {
    text += String(chunk);
    if (text.includes('}')) break;
  }
  return text;
};

// Guards against a VM that is killed for its memory as many large bodies arrive at once.
test('large bodies at once stay within the bound, and quick calls still pass', async (t) => {
  const { memory, open, stop } = await startFixture(async ({ target }, reply) => {
    if (target === '/stream')
      await new Promise((resolve) => {
        reply.callerLeft.addEventListener('abort', resolve);
      });
    reply.sendResponse(HEAD, Buffer.from('{}'));
  });
  const streams = Array.from({ length: 40 }, () => open('/stream', 4 * MB));
  await waitUntil(() => memory.countRefused() >= 30);
  t.true(memory.readHeldBytes() <= LIMITS.stream);
  t.regex(await readAll(open('/call', 100)), /^HTTP\/1.1 200/);
  t.regex(await readAll(open('/stream', 4 * MB)), /^HTTP\/1.1 503[^]*retry-after: 0.05/i);
  // The callers leave: an exhausted budget recovers.
  streams.forEach((socket) => socket.destroy());
  await waitUntil(() => memory.readHeldBytes() === 0);
  const next = open('/stream', 4 * MB);
  await waitUntil(() => memory.readHeldBytes() > 4 * MB);
  next.destroy();
  await stop();
});

// Guards against bytes that are held forever for a caller that sends half of its body.
test('a caller that stops sending its body is disconnected, and its bytes are given back', async (t) => {
  const { memory, open, stop } = await startFixture(async () => t.fail());
  open('/call', MB, 10);
  await waitUntil(() => memory.readHeldBytes() > MB);
  await waitUntil(() => memory.readHeldBytes() === 0);
  open('/call', MB, 10).destroy();
  await waitUntil(() => memory.readHeldBytes() === 0);
  t.pass();
  await stop();
});

// Guards against an answer of several MB that stays in memory for as long as its caller is connected.
test('a caller that does not read its answer is disconnected, and its bytes are given back', async (t) => {
  const { memory, open, stop } = await startFixture(async (_request, reply) => {
    t.true(reply.acquireBytes(16 * MB));
    reply.sendResponse(HEAD, Buffer.alloc(16 * MB));
  });
  open('/call', 0);
  await waitUntil(() => memory.readHeldBytes() > 16 * MB);
  await waitUntil(() => memory.readHeldBytes() === 0);
  await stop();
});

test('a caller that reads slowly gets its whole answer', async (t) => {
  // Longer than this process is paused on a busy machine, and shorter than reading takes.
  const idleTimeoutMs = 2000;
  const { memory, open, stop } = await startFixture(
    async (_request, reply) => {
      reply.sendResponse(HEAD, Buffer.alloc(8 * MB));
    },
    { idleTimeoutMs },
  );
  const startedAtMs = performance.now();
  const socket = open('/call', 0);
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    socket.pause();
    setTimeout(() => socket.resume(), 20);
  });
  await waitUntil(() => bytes > 8 * MB);
  t.true(performance.now() - startedAtMs > idleTimeoutMs);
  await waitUntil(() => memory.readHeldBytes() === 0);
  await stop();
});

test('an unread stream is written only in part, and counted; a server may be silent', async (t) => {
  let written = 0;
  const { memory, open, stop } = await startFixture(async (_request, reply) => {
    reply.sendHead(HEAD);
    // Longer than the timeout of callers that make no progress.
    await new Promise((resolve) => {
      setTimeout(resolve, 2 * IDLE_TIMEOUT_MS);
    });
    while (reply.isOpen()) {
      written += MB;
      reply.write(Buffer.alloc(MB));
      await reply.waitForDrain();
    }
  });
  open('/stream', 0);
  await waitUntil(() => memory.readHeldBytes() >= MB);
  await waitUntil(() => memory.readHeldBytes() === 0);
  t.true(written > MB && written < 16 * MB);
  t.log('written to a caller that reads nothing', written);
  await stop();
});

test('a connection that the gate does not accept is closed before a byte of it is read', async (t) => {
  let requests = 0;
  const { open, stop } = await startFixture(
    async (_, reply) => {
      requests += 1;
      reply.sendResponse(HEAD, Buffer.from('{}'));
    },
    { accepts: false },
  );
  const socket = open('/call', 100);
  // Unread bytes make the kernel reset the connection when it is closed.
  const reset = new Promise<string>((resolve) => {
    socket.once('error', ({ message }) => resolve(message));
  });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  t.regex(await reset, /ECONNRESET|EPIPE/);
  await closed;
  t.is(socket.bytesRead, 0);
  t.is(requests, 0);
  await stop();
});
