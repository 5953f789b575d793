import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { buildGatewaySettings } from '../../standins/gateway';
import { countRequests } from './_lib/countRequests';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

/** Longer than one attempt of a call may take while another one can follow, within its deadline. */
const ANSWER_AFTER_MS = 1500;

// Guards against calls that fail because their servers are slow, though no retry is left to ask others.
test('a call whose server is slow gets its answer if no retry is left', async (t) => {
  const { bounds } = buildGatewaySettings('');
  const harness = await startTestGateway({
    settings: { bounds: { ...bounds, retryRatio: 0, retryExtra: 0 } },
  });
  t.teardown(harness.stop);
  const answered = harness.send({ target: '/safe/x' });
  const { request, server } = await takeNextRequest(harness.servers);
  await Promise.race([answered, wait(ANSWER_AFTER_MS)]);
  server.answer(request, 200, 'done');
  const { body, status } = await answered;
  t.is(status, 200);
  t.is(body, 'done');
  t.is(countRequests(harness), 1);
});

// Guards against calls that fail because their servers are slow, though there is no other server to ask.
test('a call whose server is slow gets its answer if no other server is left', async (t) => {
  const harness = await startTestGateway({ serverIds: ['i-1'] });
  t.teardown(harness.stop);
  const answered = harness.send({ target: '/safe/x' });
  const { request, server } = await takeNextRequest(harness.servers);
  await Promise.race([answered, wait(ANSWER_AFTER_MS)]);
  server.answer(request, 200, 'done');
  const { body, status } = await answered;
  t.is(status, 200);
  t.is(body, 'done');
  t.is(countRequests(harness), 1);
});
