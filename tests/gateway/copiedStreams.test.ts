import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../platform';
import { formatStandInEvent } from '../../standins/gateway';
import { buildBoundsWithoutRetries } from './_lib/buildBoundsWithoutRetries';
import { buildChangedConfiguration } from './_lib/buildChangedConfiguration';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { findBackup } from './_lib/findBackup';
import { formatEvents } from './_lib/formatEvents';
import {
  startTestGateway,
  type TestAnswer,
  type TestGatewayOptions,
} from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

/** Longer than a server whose run has a copy may be silent, and far shorter than another one. */
const PAUSE_MS = 1200;

const DEADLINE_MS = 20_000;

const SERVER_IDS = ['i-1', 'i-2', 'i-3'];

/** Starts a stream whose run has a copy, and sends its first two events. */
const startCopiedStream = async (options: TestGatewayOptions) => {
  const harness = await startTestGateway({ serverIds: SERVER_IDS, ...options });
  const followed = harness.follow(buildStreamRequest({ [HEADERS.deadlineMs]: `${DEADLINE_MS}` }));
  const first = await takeNextRequest(harness.servers);
  const backup = findBackup(harness, first);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  /** Pauses the server, lets it end the stream, and resolves with the answer. */
  const endAfterPause = async (): Promise<TestAnswer> => {
    await Promise.race([followed.done, wait(PAUSE_MS)]);
    first.server.sendEvents(first.request, 3, 4);
    first.request.response.end();
    const answer = await followed.done;
    await harness.stop();
    return answer;
  };
  return { backup, endAfterPause };
};

// Guards against streams that are cut because another prompt delays their next event for longer than
// a run with a copy may be silent, though no retry is left to continue them from the copy.
test.serial('a stream with a copy goes on with a slow server if no retry is left', async (t) => {
  t.timeout(40_000);
  const { endAfterPause } = await startCopiedStream({
    configuration: buildChangedConfiguration({ route: { timeout_ms: DEADLINE_MS } }),
    settings: { bounds: buildBoundsWithoutRetries() },
  });
  const answer = await endAfterPause();
  t.is(answer.body, formatEvents(1, 4));
  t.true(answer.isWhole);
});

// Guards against streams that are cut because their copy turns out to be gone, though their server
// was only slow and their route allows no other one.
test.serial('a stream goes on with a slow server if only its copy could replace it', async (t) => {
  t.timeout(40_000);
  const { backup, endAfterPause } = await startCopiedStream({
    configuration: buildChangedConfiguration({
      route: { timeout_ms: DEADLINE_MS, max_attempts: 1 },
    }),
  });
  const refuseNext = async (): Promise<void> => {
    const request = await backup.nextRequest();
    backup.answer(request, 503, '', { [HEADERS.notRun]: '1' });
  };
  refuseNext();
  const answer = await endAfterPause();
  t.is(answer.body, formatEvents(1, 4));
  t.true(answer.isWhole);
});
