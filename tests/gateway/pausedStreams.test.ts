import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../platform';
import { formatStandInEvent } from '../../standins/gateway';
import { createFakeClock } from '../../standins/fakes';
import { buildBoundsWithoutRetries } from './_lib/buildBoundsWithoutRetries';
import { buildChangedConfiguration } from './_lib/buildChangedConfiguration';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { countRequests } from './_lib/countRequests';
import { formatEvents } from './_lib/formatEvents';
import {
  startTestGateway,
  type TestAnswer,
  type TestGatewayOptions,
} from './_lib/startTestGateway';
import { takeNextRequest } from './_lib/takeNextRequest';

/** Longer than any server may be silent before its attempt is given up: three gap goals. */
const PAUSE_MS = 3500;

const DEADLINE_MS = 20_000;

/** Builds a configuration in which all routes are changed, and servers hold no copies. */
const buildConfiguration = (change: object): object =>
  buildChangedConfiguration({
    route: { timeout_ms: DEADLINE_MS, ...change },
    engine: { backups: false, moves: false },
  });

const WITHOUT_RETRIES: TestGatewayOptions = {
  configuration: buildConfiguration({}),
  settings: { bounds: buildBoundsWithoutRetries() },
};

/** Pauses a stream after its second event; resolves with what its caller gets. */
const pauseStream = async (
  options: TestGatewayOptions,
  isServerFrozen: boolean,
): Promise<{ readonly answer: TestAnswer; readonly requests: number }> => {
  const harness = await startTestGateway(options);
  const followed = harness.follow(buildStreamRequest({ [HEADERS.deadlineMs]: `${DEADLINE_MS}` }));
  const { request, server } = await takeNextRequest(harness.servers);
  server.startStream(request);
  server.sendEvents(request, 1, 2);
  await followed.waitForText(formatStandInEvent(2));
  if (isServerFrozen) server.freeze();
  await Promise.race([followed.done, wait(PAUSE_MS)]);
  server.sendEvents(request, 3, 4);
  request.response.end();
  const answer = await followed.done;
  const requests = countRequests(harness);
  await harness.stop();
  return { answer, requests };
};

// Guards against streams that are cut because their servers paused, though nothing could replace these.
for (const [cause, options] of [
  [
    'its route allows no further server',
    { configuration: buildConfiguration({ max_attempts: 1 }) },
  ],
  ['it may not be resumed', { configuration: buildConfiguration({ resumable: false }) }],
  ['no retry is left', WITHOUT_RETRIES],
] as const) {
  for (const [pause, isServerFrozen] of [
    ['sends nothing', false],
    ['stands still', true],
  ] as const) {
    test.serial(`a stream whose server ${pause} goes on with it if ${cause}`, async (t) => {
      const { answer, requests } = await pauseStream(options, isServerFrozen);
      t.is(answer.body, formatEvents(1, 4));
      t.true(answer.isWhole);
      t.is(requests, 1);
    });
  }
}

// Guards against streams that are held for 13 s though no server may continue them.
for (const [name, events, status] of [
  ['a stream that broke off ends at once if its route allows no further server', 2, 200],
  ['a stream that may have run fails at once if its route allows no further server', 0, 502],
] as const) {
  test.serial(name, async (t) => {
    t.timeout(30_000);
    const clock = createFakeClock();
    const configuration = buildConfiguration({ max_attempts: 1 });
    const harness = await startTestGateway({ clock, configuration });
    const followed = harness.follow(buildStreamRequest());
    const { request, server } = await takeNextRequest(harness.servers);
    if (events > 0) {
      server.startStream(request);
      server.sendEvents(request, 1, events);
      await followed.waitForText(formatStandInEvent(events));
    }
    request.socket.resetAndDestroy();
    // No time passes: the answer must not wait for any.
    const answer = await followed.done;
    t.is(answer.status, status);
    t.is(answer.isWhole, status !== 200);
    t.is(countRequests(harness), 1);
    await harness.stop();
  });
}
