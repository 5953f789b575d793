import { connect } from 'node:net';
import test from 'ava';
import { PATHS, CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { buildWireConfiguration } from '../../standins/gateway';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

/** Sends raw text and returns everything received until the connection is closed. */
const sendRaw = (harness: TestGateway, text: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const { hostname, port } = new URL(harness.gateway.callerUrl);
    const socket = connect(Number(port), hostname);
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
    socket.write(text);
  });

const HEAD = `Host: a.example\r\n${HEADERS.requestId}: r-1\r\n${HEADERS.authorization}: Bearer key-1\r\n`;

const MALFORMED: Readonly<Record<string, string>> = {
  'two lengths that differ': `POST /safe/x HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
  'two equal lengths': `POST /safe/x HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc`,
  'a length beside chunks': `POST /safe/x HTTP/1.1\r\n${HEAD}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`,
  'an unknown transfer encoding': `POST /safe/x HTTP/1.1\r\n${HEAD}Transfer-Encoding: gzip\r\n\r\n`,
  'two ids': `GET /safe/x HTTP/1.1\r\n${HEAD}${HEADERS.requestId}: r-2\r\n\r\n`,
  'no id': `GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n`,
  'no host': `GET /safe/x HTTP/1.1\r\n${HEADERS.requestId}: r-1\r\n\r\n`,
  'two hosts': `GET /safe/x HTTP/1.1\r\nHost: b.example\r\n${HEAD}\r\n`,
  'a target that is not a path': `GET http://b.example/safe/x HTTP/1.1\r\n${HEAD}\r\n`,
};

for (const [name, text] of Object.entries(MALFORMED)) {
  test(`a request with ${name} gets 400, is not forwarded, and its connection is closed`, async (t) => {
    const harness = await startTestGateway({ serverIds: ['i-1'] });
    const answer = await sendRaw(harness, text);
    t.regex(answer, /^HTTP\/1\.1 400 /);
    t.is(answer.match(/HTTP\/1\.1/g)?.length, 1);
    t.is(harness.servers[0]?.countRequests(), 0);
    await harness.stop();
  });
}

test('headers beyond the limit get 431, a body beyond the limit 413', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const long = await sendRaw(
    harness,
    `GET /safe/x HTTP/1.1\r\n${HEAD}x: ${'y'.repeat(5000)}\r\n\r\n`,
  );
  t.regex(long, /^HTTP\/1\.1 431 /);
  const large = await sendRaw(
    harness,
    `POST /safe/x HTTP/1.1\r\n${HEAD}Content-Length: 20000\r\n\r\n`,
  );
  t.regex(large, /^HTTP\/1\.1 413 /);
  t.is(harness.servers[0]?.countRequests(), 0);
  await harness.stop();
});

test('an unknown route gets 404, an unknown key 401', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  t.is((await harness.send({ target: '/nowhere/x' })).status, 404);
  const headers = { [HEADERS.authorization]: 'Bearer stolen' };
  t.is((await harness.send({ target: '/safe/x', headers })).status, 401);
  t.is(harness.servers[0]?.countRequests(), 0);
  await harness.stop();
});

// Guards against a 404 for an existing route: a VM that starts without a configuration must not
// treat that as a configuration without routes.
test('a VM without a configuration is not ready and answers 503 with Retry-After', async (t) => {
  const harness = await startTestGateway({ isConfigured: false });
  t.is((await fetch(`${harness.gateway.readinessUrl}${PATHS.ready}`)).status, 503);
  const answer = await harness.send({ target: '/safe/x' });
  t.is(answer.status, 503);
  t.true(Number(answer.headers['retry-after']) > 0);
  harness.store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration());
  await harness.waitForLine('configuration in force');
  t.is((await fetch(`${harness.gateway.readinessUrl}${PATHS.ready}`)).status, 200);
  await harness.stop();
});

test('a configuration that cannot be decoded leaves the previous one in force', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  harness.store.writeRow(TABLES.operator, CONFIGURATION_KEY, { version: 9, routes: 'none' });
  const refused = await harness.waitForLine('configuration refused');
  t.is(refused.inForce, 2);
  t.regex(String(refused.reason), /routes/);
  t.is((await harness.send({ target: '/nowhere/x' })).status, 404);
  await harness.stop();
});

test('a revoked key is refused', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const without = buildWireConfiguration({ version: 3, tenants: [{ name: 'w1', api_keys: [] }] });
  harness.store.writeRow(TABLES.operator, CONFIGURATION_KEY, without);
  await harness.waitForLine('configuration in force', ({ version }) => version === 3);
  t.is((await harness.send({ target: '/safe/x' })).status, 401);
  await harness.stop();
});

// Guards against a request that a planned restart interrupts: SIGTERM arrives while the request
// runs, and the process must wait for it.
test('a draining VM is not ready, completes running requests, and then closes their connections', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  const answered = harness.send({ target: '/unsafe/x', body: '1' });
  const request = await harness.servers[0]!.nextRequest();
  const drained = harness.gateway.drain();
  t.is((await fetch(`${harness.gateway.readinessUrl}${PATHS.ready}`)).status, 503);
  harness.servers[0]!.answer(request, 200, 'whole');
  const answer = await answered;
  t.is(answer.body, 'whole');
  t.is(answer.headers.connection, 'close');
  await drained;
  await harness.stop();
});

test('the metrics endpoint counts requests by outcome', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  await harness.send({ target: '/nowhere/x' });
  const text = await (await fetch(`${harness.gateway.metricsUrl}/metrics`)).text();
  t.regex(text, /jackdaw_forwarded_requests_total\{kind="none",outcome="unknown-route"\} 1/);
  t.regex(text, /jackdaw_configuration_version 2/);
  await harness.stop();
});
