import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { buildBoundsWithoutRetries } from './_lib/buildBoundsWithoutRetries';
import { countRequests } from './_lib/countRequests';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

/** Longer than one attempt of a call may take while another one can follow, within its deadline. */
const ANSWER_AFTER_MS = 1500;

// Guards against calls that fail because their servers are slow, though nobody else could answer them.
for (const [cause, options] of [
  ['no retry is left', { settings: { bounds: buildBoundsWithoutRetries() } }],
  ['no other server is left', { serverIds: ['i-1'] }],
] as const) {
  test(`a call whose server is slow gets its answer if ${cause}`, async (t) => {
    const harness = await startTestGateway(options);
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
}
