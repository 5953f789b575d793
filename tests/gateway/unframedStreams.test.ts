// Guards against streams that end with their connection and are taken for whole: one whose server
// crashed before its first event reached the caller as whole and empty.
import test, { type ExecutionContext } from 'ava';
import { formatStandInEvent } from '../../standins/gateway';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { formatEvents } from './_lib/formatEvents';
import { sendEvents } from './_lib/sendEvents';
import { startUnframedStream } from './_lib/startUnframedStream';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';
import { takeNextRequest, type TakenRequest } from './_lib/takeNextRequest';

const SERVER_IDS = ['i-1', 'i-2', 'i-3'];

const setUp = async (
  t: ExecutionContext,
  serverIds: readonly string[] = SERVER_IDS,
): Promise<TestGateway> => {
  const harness = await startTestGateway({ serverIds });
  t.teardown(() => harness.stop());
  return harness;
};

const takeUnframed = async ({ servers }: TestGateway): Promise<TakenRequest> => {
  const taken = await takeNextRequest(servers);
  startUnframedStream(taken);
  return taken;
};

test('a stream without length or chunks that ends before its first event goes on at another server', async (t) => {
  const harness = await setUp(t);
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeUnframed(harness);
  request.response.end();
  await server.crash();
  const next = await Promise.race([takeNextRequest(harness.servers), followed.done]);
  if (!('request' in next)) return t.fail('the caller got an empty answer');
  sendEvents(next, 1, 3);
  const answer = await followed.done;
  t.is(answer.body, formatEvents(1, 3));
  t.true(answer.isWhole);
  await harness.waitForLine('stream broke off', ({ hadEvents }) => hadEvents === false);
  return t.truthy(await harness.waitForLine('request crashed a server'));
});

test('a stream without length or chunks that ends inside an event goes on at another server', async (t) => {
  const harness = await setUp(t);
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeUnframed(harness);
  server.sendEvents(request, 1, 1);
  request.response.end(formatStandInEvent(2).slice(0, 8));
  sendEvents(await takeNextRequest(harness.servers), 2, 3);
  t.is((await followed.done).body, formatEvents(1, 3));
});

test('a stream without length or chunks that ends after whole events is whole', async (t) => {
  const harness = await setUp(t);
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeUnframed(harness);
  server.sendEvents(request, 1, 3);
  request.response.end();
  const answer = await followed.done;
  t.is(answer.body, formatEvents(1, 3));
  t.true(answer.isWhole);
});

test('a caller can tell a stream without length or chunks that broke off from a whole one', async (t) => {
  const harness = await setUp(t, ['i-1']);
  const followed = harness.follow(buildStreamRequest());
  const { request, server } = await takeUnframed(harness);
  server.sendEvents(request, 1, 2);
  await followed.waitForText(formatEvents(1, 2));
  await server.crash();
  const answer = await followed.done;
  t.is(answer.body, formatEvents(1, 2));
  t.false(answer.isWhole);
});
