// Guards against callers that get as an answer what a server in trouble sent: a status that HTTP does
// not define, or the part of a body that came before a reset.
import test from 'ava';
import { createServerClient, HEADERS } from '../../platform';
import { createFakeClock } from '../../standins/fakes';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { buildTestAttempt } from './_lib/buildTestAttempt';
import { startRawServer, type RawRequest } from './_lib/startRawServer';
import { startTestGateway, type TestRequest } from './_lib/startTestGateway';
import { startTestRelay } from './_lib/startTestRelay';

const FAILED_STATUS = 502;

const buildHead = ({ headers }: RawRequest, status: string): string =>
  `HTTP/1.1 ${status} Odd\r\n${HEADERS.requestId}: ${String(headers[HEADERS.requestId] ?? '')}\r\n` +
  `${HEADERS.signature}: s\r\n`;

const REQUESTS: Readonly<Record<string, TestRequest>> = {
  'a call that may be repeated': { target: '/safe/1' },
  'a call that may run once': { target: '/unsafe/1', body: 'x' },
  'a stream': buildStreamRequest(),
};

const STATUSES = ['000', '099', '600', '999'];

Object.entries(REQUESTS).forEach(([name, request]) => {
  test(`${name} is answered by 502 if servers answer by a status that HTTP does not define`, async (t) => {
    for (const status of STATUSES) {
      const answer = (raw: RawRequest): void => {
        raw.socket.write(`${buildHead(raw, status)}content-length: 3\r\n\r\nodd`);
      };
      const servers = await Promise.all(['i-1', 'i-2'].map((id) => startRawServer(id, answer)));
      const gateway = await startTestGateway({ servers });
      const { body, status: seen } = await gateway.send(request);
      t.is(seen, FAILED_STATUS, `${status}: ${body}`);
      await gateway.stop();
    }
  });

  test(`${name} is answered by 502 if servers answer at once and reset the connection`, async (t) => {
    for (const delayMs of [0, 5, 100]) {
      const answer = (raw: RawRequest): void => {
        raw.socket.write(`${buildHead(raw, '200')}\r\npart`);
        setTimeout(() => raw.socket.resetAndDestroy(), delayMs);
      };
      const servers = await Promise.all(['i-1', 'i-2'].map((id) => startRawServer(id, answer)));
      const gateway = await startTestGateway({ servers });
      const { body, status: seen } = await gateway.send(request);
      t.is(seen, FAILED_STATUS, `${delayMs} ms: ${body}`);
      await gateway.stop();
    }
  });
});

test('an answer with such a status fails behind a relay, too', async (t) => {
  const server = await startRawServer('i-1', (raw) => {
    raw.socket.write(`${buildHead(raw, '600')}content-length: 3\r\n\r\nodd`);
  });
  const direct = createServerClient({ clock: createFakeClock() });
  const relay = await startTestRelay([server]);
  for (const client of [direct, relay.client]) {
    const attempt = buildTestAttempt(server.address, server.id);
    const sent = await client.sendAttempt(attempt, new AbortController().signal);
    t.is(sent.isErr() && sent.error.kind, 'broken');
  }
  await Promise.all([direct.stop(), relay.stop(), server.stop()]);
});
