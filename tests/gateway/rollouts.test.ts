// Guards against a bad version that goes on to get requests, against callers who get its failures, and
// against an old server that gets requests after it was stopped.
import test from 'ava';
import { createStoreClient, ROLLOUT_PREFIX, TABLES } from '../../platform';
import { createFakeClock, type FakeClock } from '../../standins/fakes';
import { buildWireEntry, createStandInServer, type StandInServer } from '../../standins/gateway';
import { readOk } from '../_lib/readOk';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

const DURATION_S = 60;
const SERVICE = 's';

/** A process tries nothing before it has run for this long. */
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

/** Sends calls one after the other while time goes on; returns their statuses. */
const sendCalls = async (
  bench: TestGateway,
  clock: FakeClock,
  count: number,
  stepMs = STEP_MS,
): Promise<readonly number[]> => {
  const statuses: number[] = [];
  for (let index = 0; index < count; index += 1) {
    statuses.push((await bench.send({ target: '/safe/x', id: `call-${index}` })).status);
    await clock.advanceAsync(stepMs);
  }
  return statuses;
};

/** Sends calls until a line was written; the store answers in real time, so that calls set the pace. */
const sendUntil = async (
  bench: TestGateway,
  clock: FakeClock,
  message: string,
  passes: (fields: Record<string, unknown>) => boolean = () => true,
): Promise<readonly number[]> => {
  const statuses: number[] = [];
  while (!bench.lines.some((line) => line.message === message && passes(line))) {
    statuses.push(...(await sendCalls(bench, clock, 1)));
  }
  return statuses;
};

/** Starts servers of another version, which all give this status, and orders a move to it. */
const startRollout = async (bench: TestGateway, clock: FakeClock, status: number) => {
  const started = await Promise.all(['n-1', 'n-2'].map((id) => createStandInServer(id)));
  answerAll(started, status);
  bench.store.writeRow(TABLES.operator, `${ROLLOUT_PREFIX}${SERVICE}`, {
    service: SERVICE,
    to: 'v2',
    duration_s: DURATION_S,
  });
  await sendUntil(bench, clock, 'rollout ordered');
  started.forEach((server) =>
    bench.store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { version: 'v2' })),
  );
  for (const { id } of started) {
    await sendUntil(bench, clock, 'server known', ({ server }) => server === id);
  }
  return started;
};

const readStatus = async (bench: TestGateway, clock: FakeClock): Promise<unknown> => {
  const client = createStoreClient(bench.store.url, { clock });
  const { rows } = readOk(await client.readRows(TABLES.status));
  await client.stop();
  return JSON.parse(rows[0]?.value?.toString('utf8') ?? 'null');
};

const setUp = async (status: number) => {
  const clock = createFakeClock();
  const bench = await startTestGateway({ clock, settings: { isFirstStart: true } });
  answerAll(bench.servers, 200);
  await sendCalls(bench, clock, SETTLE_MS / STEP_MS + 1);
  const started = await startRollout(bench, clock, status);
  const stop = async (): Promise<void> => {
    await bench.stop();
    await Promise.all(started.map((server) => server.stop()));
  };
  return { bench, clock, started, stop };
};

const isReverted = ({ state }: Record<string, unknown>): boolean => state === 'reverted';

test('a version that fails its calls is reverted, gets nothing more, and no caller gets its failure', async (t) => {
  const { bench, clock, started, stop } = await setUp(500);
  const statuses = await sendUntil(bench, clock, 'rollout status written', isReverted);
  t.true(statuses.every((status) => status === 200));
  const status = (await readStatus(bench, clock)) as { state: string; to: string };
  t.is(status.state, 'reverted');
  t.is(status.to, 'v2');
  const tried = countAll(started);
  t.true(tried >= 3 && tried <= statuses.length * 0.05 + 25);
  await sendCalls(bench, clock, 30);
  t.is(countAll(started), tried);
  await stop();
});

test('a process that starts after a version was reverted sends nothing there', async (t) => {
  const { bench, clock, started, stop } = await setUp(500);
  await sendUntil(bench, clock, 'rollout status written', isReverted);
  const tried = countAll(started);
  const later = await startTestGateway({ sharedWith: bench, clock, settings: { vm: 'vm-2' } });
  const early = await sendUntil(later, clock, 'rollout verdict', isReverted);
  const statuses = await sendCalls(later, clock, SETTLE_MS / STEP_MS + 60);
  t.true([...early, ...statuses].every((status) => status === 200));
  t.is(countAll(started), tried);
  await later.stop();
  await stop();
});

test('a version that answers as well as the one before is completed, and then gets every call', async (t) => {
  const { bench, clock, started, stop } = await setUp(200);
  const isCompleted = ({ state }: Record<string, unknown>): boolean => state === 'completed';
  const statuses = await sendUntil(bench, clock, 'rollout status written', isCompleted);
  t.true(statuses.every((status) => status === 200));
  const [old, moved] = [countAll(bench.servers), countAll(started)];
  await sendCalls(bench, clock, 20);
  t.is(countAll(bench.servers), old);
  t.is(countAll(started), moved + 20);
  t.is(((await readStatus(bench, clock)) as { state: string }).state, 'completed');
  await stop();
});
