// Guards against changes that are missed after the store is restored from an older copy: its
// versions decrease and are assigned again.
import test from 'ava';
import { PATHS, CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { buildWireConfiguration, buildWireEntry, type StandInServer } from '../../standins/gateway';
import { callAnyServer } from './_lib/callAnyServer';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

/** Full reads within which a VM must know the content of the store; a correct VM makes two. */
const MAX_READS = 12;

/** Unrelated changes that the copy lacks. */
const OTHER_ROWS = 20;

/** With this many calls, one of two equal servers gets none in one of a million runs. */
const CALLS_SENT = 20;

/** Saves a copy, then writes rows that it lacks, so that a restored store is behind the gateway. */
const writeBeyondCopy = async ({ servers, store, waitForLine }: TestGateway): Promise<void> => {
  store.saveSnapshot();
  for (let row = 0; row < OTHER_ROWS; row += 1) store.writeRow(TABLES.status, 'other', { row });
  store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ version: 3 }));
  servers.forEach((server) =>
    store.writeRow(TABLES.servers, server.id, buildWireEntry(server, { sequence: 2 })),
  );
  await waitForLine('configuration in force', ({ version }) => version === 3);
  await waitForLine(
    'rows taken',
    ({ table, version }) => table === TABLES.servers && Number(version) > OTHER_ROWS,
  );
};

/** Resolves to true once the line is logged, to false after too many reads without the line. */
const isLoggedInTime = async (
  { store, waitForLine }: TestGateway,
  ...line: Parameters<TestGateway['waitForLine']>
): Promise<boolean> => {
  const countReads = async (): Promise<false> => {
    for (let reads = 0; reads < MAX_READS; reads += 1) await store.waitForCall(PATHS.readRows);
    return false;
  };
  return Promise.race([waitForLine(...line).then(() => true), countReads()]);
};

test('the log records when the store returns in another era', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  harness.store.saveSnapshot();
  harness.store.restoreSnapshot();
  t.true(await isLoggedInTime(harness, 'store era', ({ era }) => era === 2));
});

test('a configuration that is written after a restore is in force', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  await writeBeyondCopy(harness);
  harness.store.restoreSnapshot();
  harness.store.writeRow(
    TABLES.operator,
    CONFIGURATION_KEY,
    buildWireConfiguration({ version: 4 }),
  );
  t.true(await isLoggedInTime(harness, 'configuration in force', ({ version }) => version === 4));
});

test('a server that announces its leaving after a restore gets no more requests', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  await writeBeyondCopy(harness);
  harness.store.restoreSnapshot();
  const [leaving] = harness.servers as [StandInServer];
  harness.store.writeRow(
    TABLES.servers,
    leaving.id,
    buildWireEntry(leaving, { state: 'draining', sequence: 3 }),
  );
  t.true(await isLoggedInTime(harness, 'server leaving', ({ server }) => server === leaving.id));
});

test('a restored store is not read repeatedly', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  await writeBeyondCopy(harness);
  let reads = 0;
  const countReads = async (): Promise<void> => {
    for (; reads < MAX_READS; reads += 1) await harness.store.waitForCall(PATHS.readRows);
  };
  const counted = countReads();
  harness.store.restoreSnapshot();
  const isLogged = harness.waitForLine(
    'store era',
    ({ era, table }) => era === 2 && table === TABLES.servers,
  );
  await Promise.race([counted, isLogged]);
  for (let call = 0; call < CALLS_SENT; call += 1)
    await callAnyServer(harness, { id: `call-${call}` });
  t.true(reads < MAX_READS, `${reads} reads`);
});

test('a leaving server stays unused while the restored store has an older entry', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  const [leaving] = harness.servers as [StandInServer];
  harness.store.saveSnapshot();
  harness.store.writeRow(
    TABLES.servers,
    leaving.id,
    buildWireEntry(leaving, { state: 'draining', sequence: 3 }),
  );
  await harness.waitForLine('server leaving', ({ server }) => server === leaving.id);
  harness.store.restoreSnapshot();
  await harness.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  for (let call = 0; call < CALLS_SENT; call += 1) {
    t.not((await callAnyServer(harness, { id: `call-${call}` })).id, leaving.id);
  }
});

test('a deleted server stays unused while the restored store has its entry again', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  const [deleted] = harness.servers as [StandInServer];
  harness.store.saveSnapshot();
  harness.store.writeRow(TABLES.servers, deleted.id, null);
  await harness.waitForLine('server gone', ({ server }) => server === deleted.id);
  harness.store.restoreSnapshot();
  await harness.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  for (let call = 0; call < CALLS_SENT; call += 1) {
    t.not((await callAnyServer(harness, { id: `call-${call}` })).id, deleted.id);
  }
});

test('a server that the copy lacks stays in use until its entry is written again', async (t) => {
  const harness = await startTestGateway();
  t.teardown(harness.stop);
  const [kept, late] = harness.servers as [StandInServer, StandInServer];
  harness.store.writeRow(TABLES.servers, late.id, null);
  harness.store.saveSnapshot();
  harness.store.writeRow(TABLES.servers, late.id, buildWireEntry(late, { sequence: 5 }));
  harness.store.writeRow(TABLES.servers, kept.id, null);
  await harness.waitForLine('server gone', ({ server }) => server === kept.id);
  harness.store.restoreSnapshot();
  await harness.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  t.is((await callAnyServer(harness, { id: 'meanwhile' })).id, late.id);
  harness.store.writeRow(TABLES.servers, late.id, buildWireEntry(late, { sequence: 5 }));
  t.is(
    (await callAnyServer(harness, { id: 'after', headers: { [HEADERS.load]: '0,0,8' } })).id,
    late.id,
  );
});
