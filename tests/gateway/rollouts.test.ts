// Guards against a bad version that keeps getting requests, callers that get failures of a bad
// version, and requests to an old server that was stopped.
import test from 'ava';
import { createStoreClient, ROLLOUT_PREFIX, TABLES } from '../../platform';
import { createFakeClock, type FakeClock } from '../../standins/fakes';
import { buildWireEntry, createStandInServer, type StandInServer } from '../../standins/gateway';
import { readOk } from '../_lib/readOk';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const DURATION_S = 60;
const SERVICE = 's';

/** A process sends no trials of a new version before it has run for this long. */
const SETTLE_MS = 10_000;
const STEP_MS = 100;

const answerAll = (servers: readonly StandInServer[], status: number): void =>
  servers.forEach((server) =>
    server.addListener(() => {
      const request = server.takeRequest();
      if (request) server.answer(request, status, server.id);
    }),
  );

const countAll = (servers: readonly StandInServer[]): number =>
  servers.reduce((sum, server) => sum + server.countRequests(), 0);

/** Sends calls one after the other, advancing the clock after each; returns their statuses. */
const sendCalls = async (
  harness: TestGateway,
  clock: FakeClock,
  count: number,
  stepMs = STEP_MS,
): Promise<readonly number[]> => {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    statuses.push((await harness.send({ target: '/safe/x', id: `call-${index}` })).status);
    await clock.advanceAsync(stepMs);
  }
  return statuses;
};

/**
 * Sends calls until a line is logged. The store answers in real time, so that the number of calls
 * varies.
 */
const sendUntil = async (
  harness: TestGateway,
  clock: FakeClock,
  message: string,
  passes: (fields: Record<string, unknown>) => boolean = () => true,
): Promise<readonly number[]> => {
  const statuses: number[] = [];
  while (!harness.lines.some((line) => line.message === message && passes(line))) {
    statuses.push(...(await sendCalls(harness, clock, 1)));
  }
  return statuses;
};

/** Orders a rollout and starts servers of the new version, which all answer with `status`. */
const startRollout = async (harness: TestGateway, clock: FakeClock, status: number) => {
  const started = await Promise.all(['n-1', 'n-2'].map((id) => createStandInServer(id)));
  answerAll(started, status);
  harness.store.writeRow(TABLES.operator, `${ROLLOUT_PREFIX}${SERVICE}`, {
    service: SERVICE,
    to: 'v2',
    duration_s: DURATION_S,
  });
  await sendUntil(harness, clock, 'rollout ordered');
  started.forEach((server) =>
    harness.store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { version: 'v2' })),
  );
  for (const { id } of started) {
    await sendUntil(harness, clock, 'server known', ({ server }) => server === id);
  }
  return started;
};

const readStatus = async (harness: TestGateway, clock: FakeClock): Promise<unknown> => {
  const client = createStoreClient(harness.store.url, { clock });
  const { rows } = readOk(await client.readRows(TABLES.status));
  await client.stop();
  return JSON.parse(rows[0]?.value?.toString('utf8') ?? 'null');
};

const setUp = async (status: number) => {
  const clock = createFakeClock();
  const harness = await startTestGateway({ clock, settings: { isFirstStart: true } });
  answerAll(harness.servers, 200);
  await sendCalls(harness, clock, SETTLE_MS / STEP_MS + 1);
  const started = await startRollout(harness, clock, status);
  const stop = async (): Promise<void> => {
    await harness.stop();
    await Promise.all(started.map((server) => server.stop()));
  };
  return { harness, clock, started, stop };
};

const isReverted = ({ state }: Record<string, unknown>): boolean => state === 'reverted';

test('a failing version is reverted, gets no more calls, and no caller gets its failures', async (t) => {
  const { harness, clock, started, stop } = await setUp(500);
  const statuses = await sendUntil(harness, clock, 'rollout status written', isReverted);
  t.true(statuses.every((status) => status === 200));
  const status = (await readStatus(harness, clock)) as { state: string; to: string };
  t.is(status.state, 'reverted');
  t.is(status.to, 'v2');
  const trials = countAll(started);
  t.true(trials >= 3 && trials <= statuses.length * 0.05 + 25);
  await sendCalls(harness, clock, 30);
  t.is(countAll(started), trials);
  await stop();
});

test('a process that starts after a version was reverted sends no calls to that version', async (t) => {
  const { harness, clock, started, stop } = await setUp(500);
  await sendUntil(harness, clock, 'rollout status written', isReverted);
  const trials = countAll(started);
  const later = await startTestGateway({ sharedWith: harness, clock, settings: { vm: 'vm-2' } });
  const early = await sendUntil(later, clock, 'rollout verdict', isReverted);
  const statuses = await sendCalls(later, clock, SETTLE_MS / STEP_MS + 60);
  t.true([...early, ...statuses].every((status) => status === 200));
  t.is(countAll(started), trials);
  await later.stop();
  await stop();
});

test('a version that answers as well as the previous one is completed and then gets every call', async (t) => {
  const { harness, clock, started, stop } = await setUp(200);
  const isCompleted = ({ state }: Record<string, unknown>): boolean => state === 'completed';
  const statuses = await sendUntil(harness, clock, 'rollout status written', isCompleted);
  t.true(statuses.every((status) => status === 200));
  const [old, moved] = [countAll(harness.servers), countAll(started)];
  await sendCalls(harness, clock, 20);
  t.is(countAll(harness.servers), old);
  t.is(countAll(started), moved + 20);
  t.is(((await readStatus(harness, clock)) as { state: string }).state, 'completed');
  await stop();
});
