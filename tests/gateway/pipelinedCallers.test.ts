// Guards against an answer that the VM writes to a connection by itself while a request of that
// connection is at a server: the caller takes it for the answer to that request.
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import test from 'ava';
import { HEADERS } from '../../platform';
import { TEST_KEY } from '../../standins/gateway';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';
import { takeNextRequest, type TakenRequest } from './_lib/takeNextRequest';

const formatHead = (id: string): string =>
  [
    'GET /unsafe/x HTTP/1.1',
    'host: a.example',
    `${HEADERS.requestId}: ${id}`,
    `${HEADERS.deadlineMs}: 4000`,
    `${HEADERS.authorization}: Bearer ${TEST_KEY}`,
    '',
    '',
  ].join('\r\n');

/** Bytes that may follow a request on its connection, and are no request. */
const GARBAGE: Readonly<Record<string, string>> = {
  'a malformed head': 'GET /unsafe/x HTTP/9.9\r\n\r\n',
  'no head at all': '\u0000\u0001\u0002\r\n\r\n',
  'a head that is too long': `GET /unsafe/x HTTP/1.1\r\nx: ${'x'.repeat(70_000)}\r\n\r\n`,
  'a body with a wrong length': `POST /unsafe/x HTTP/1.1\r\ncontent-length: -1\r\n\r\n`,
};

/** Opens a connection; `read` returns what has arrived on it. */
const openConnection = ({ gateway }: TestGateway): { socket: Socket; read: () => string } => {
  const url = new URL(gateway.callerUrl);
  const socket = connect({ host: url.hostname, port: Number(url.port) });
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes) => {
    text += String(bytes);
  });
  return { socket, read: () => text };
};

const listStatuses = (text: string): readonly string[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) => status ?? '');

const readId = ({ request }: TakenRequest): string => String(request.headers[HEADERS.requestId]);

Object.entries(GARBAGE).forEach(([name, garbage]) => {
  test(`${name} after a request gets no answer in place of it`, async (t) => {
    const harness = await startTestGateway({ serverIds: ['i-1'] });
    t.teardown(harness.stop);
    const { read, socket } = openConnection(harness);
    socket.write(formatHead('first'));
    await takeNextRequest(harness.servers);
    const closed = once(socket, 'close');
    socket.write(garbage);
    await closed;
    t.deepEqual(listStatuses(read()), []);
  });

  test(`${name} after two requests gets no answer in place of the second`, async (t) => {
    const harness = await startTestGateway();
    t.teardown(harness.stop);
    const { read, socket } = openConnection(harness);
    socket.write(formatHead('first') + formatHead('second'));
    const taken = [await takeNextRequest(harness.servers), await takeNextRequest(harness.servers)];
    const first = taken.find((one) => readId(one) === 'first');
    t.truthy(first);
    first?.server.answer(first.request, 200, 'yes');
    while (!read().includes('yes')) await once(socket, 'data');
    const closed = once(socket, 'close');
    socket.write(garbage);
    await closed;
    t.deepEqual(listStatuses(read()), ['200']);
  });
});
