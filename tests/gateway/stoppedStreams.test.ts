import { setTimeout as wait } from 'node:timers/promises';
import test from 'ava';
import { CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { formatStandInEvent } from '../../standins/gateway';
import {
  buildChangedConfiguration,
  type ConfigurationChange,
} from './_lib/buildChangedConfiguration';
import { buildStreamRequest } from './_lib/buildStreamRequest';
import { formatEvents } from './_lib/formatEvents';
import { removeBackup } from './_lib/removeBackup';
import { startEndingServer } from './_lib/startEndingServer';
import { startTestGateway } from './_lib/startTestGateway';
import { takeNextRequest, type TakenRequest } from './_lib/takeNextRequest';

const SERVER_IDS = ['i-1', 'i-2', 'i-3'];

const TIMEOUT_MS = 20_000;

const EVENT_INTERVAL_MS = 50;

const LAST_EVENT = 30;

const buildConfiguration = ({ route, ...change }: ConfigurationChange): object =>
  buildChangedConfiguration({ ...change, route: { timeout_ms: TIMEOUT_MS, ...route } });

/** Sends the rest of a stream, for longer than runs without a copy are left where they are. */
const sendRest = async ({ request, server }: TakenRequest, first: number): Promise<void> => {
  for (let event = first; event <= LAST_EVENT; event += 1) {
    server.sendEvents(request, event, event);
    await wait(EVENT_INTERVAL_MS);
  }
  request.response.end();
};

// Guards against streams cut by a version: it lets servers move runs, so that runs without a copy
// are stopped to go on elsewhere, also where the route does not allow that.
test('a version that allows moves cuts no stream that may not be resumed', async (t) => {
  const route = { resumable: false };
  const harness = await startTestGateway({
    serverIds: SERVER_IDS,
    configuration: buildConfiguration({ route, engine: { backups: false, moves: false } }),
  });
  t.teardown(harness.stop);
  const followed = harness.follow(buildStreamRequest());
  const first = await takeNextRequest(harness.servers);
  first.server.startStream(first.request);
  first.server.sendEvents(first.request, 1, 1);
  await followed.waitForText(formatStandInEvent(1));
  harness.store.writeRow(
    TABLES.operator,
    CONFIGURATION_KEY,
    buildConfiguration({ route, engine: { backups: false }, version: 3 }),
  );
  await harness.waitForLine('configuration in force', ({ version }) => version === 3);
  await sendRest(first, 2);
  const answer = await followed.done;
  t.is(answer.body, formatEvents(1, LAST_EVENT));
  t.true(answer.isWhole);
});

// Guards against streams cut because another server leaves: the one that their KV cache is copied
// to is gone, and they are stopped to go on elsewhere, which their route does not allow.
test('a stream that may not be resumed is not cut when its backup server leaves', async (t) => {
  const harness = await startTestGateway({
    serverIds: SERVER_IDS,
    configuration: buildConfiguration({ route: { resumable: false } }),
  });
  t.teardown(harness.stop);
  const followed = harness.follow(buildStreamRequest());
  const { first } = await removeBackup(harness, followed);
  await sendRest(first, 4);
  const answer = await followed.done;
  t.is(answer.body, formatEvents(1, LAST_EVENT));
  t.true(answer.isWhole);
});

// Guards against streams that lose their end: a run ends by itself while it is stopped to be moved, its
// end is dropped, its server counts as silent, and another attempt is needed.
test('a stream that ends while it is moved is whole', async (t) => {
  const harness = await startTestGateway({
    servers: await Promise.all(SERVER_IDS.map((id) => startEndingServer(id, LAST_EVENT))),
    configuration: buildConfiguration({ engine: { backups: false } }),
  });
  t.teardown(harness.stop);
  const headers = { [HEADERS.deadlineMs]: String(TIMEOUT_MS) };
  const answer = await harness.send(buildStreamRequest(headers));
  t.is(answer.body, formatEvents(1, LAST_EVENT));
  t.true(answer.isWhole);
  t.deepEqual(
    harness.lines.filter(({ message }) => message === 'server silent'),
    [],
  );
});
