// Guards against changes that are missed after the store came back from an older copy: its versions go
// back and are given out again.
import test from 'ava';
import { PATHS, CONFIGURATION_KEY, HEADERS, TABLES } from '../../platform';
import { buildWireConfiguration, buildWireEntry, type StandInServer } from '../../standins/gateway';
import { callAnyServer } from './_lib/callAnyServer';
import { startTestGateway, type TestGateway } from './_lib/startTestGateway';

/** Whole reads after which what the store holds must be known; a sound VM makes two. */
const MAX_READS = 12;

/** Changes that the copy lacks, beside those that matter. */
const OTHER_ROWS = 20;

/** Enough that one of two equal servers gets none by chance once in a million runs. */
const CALLS_SENT = 20;

/** Writes rows that the copy lacks, so that the store falls behind what the gateway holds. */
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

/** True once the line comes; false if the store is read over and over without it. */
const isToldInTime = async (
  { store, waitForLine }: TestGateway,
  ...line: Parameters<TestGateway['waitForLine']>
): Promise<boolean> => {
  const countReads = async (): Promise<false> => {
    for (let reads = 0; reads < MAX_READS; reads += 1) await store.waitForCall(PATHS.readRows);
    return false;
  };
  return Promise.race([waitForLine(...line).then(() => true), countReads()]);
};

test('the log says when the store came back in another era', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  bench.store.saveSnapshot();
  bench.store.restoreSnapshot();
  t.true(await isToldInTime(bench, 'store era', ({ era }) => era === 2));
});

test('a configuration that is written after the store came back older is in force', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  await writeBeyondCopy(bench);
  bench.store.restoreSnapshot();
  bench.store.writeRow(TABLES.operator, CONFIGURATION_KEY, buildWireConfiguration({ version: 4 }));
  t.true(await isToldInTime(bench, 'configuration in force', ({ version }) => version === 4));
});

test('a server that says after the store came back older that it leaves gets nothing more', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  await writeBeyondCopy(bench);
  bench.store.restoreSnapshot();
  const [leaving] = bench.servers as [StandInServer];
  bench.store.writeRow(
    TABLES.servers,
    leaving.id,
    buildWireEntry(leaving, { state: 'draining', sequence: 3 }),
  );
  t.true(await isToldInTime(bench, 'server leaving', ({ server }) => server === leaving.id));
});

test('a store that came back older is not read over and over', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  await writeBeyondCopy(bench);
  let reads = 0;
  const countReads = async (): Promise<void> => {
    for (; reads < MAX_READS; reads += 1) await bench.store.waitForCall(PATHS.readRows);
  };
  const counted = countReads();
  bench.store.restoreSnapshot();
  const isTold = bench.waitForLine(
    'store era',
    ({ era, table }) => era === 2 && table === TABLES.servers,
  );
  await Promise.race([counted, isTold]);
  for (let call = 0; call < CALLS_SENT; call += 1)
    await callAnyServer(bench, { id: `call-${call}` });
  t.true(reads < MAX_READS, `${reads} reads`);
});

test('a server that left stays out while the store shows an older copy of its entry', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  const [leaving] = bench.servers as [StandInServer];
  bench.store.saveSnapshot();
  bench.store.writeRow(
    TABLES.servers,
    leaving.id,
    buildWireEntry(leaving, { state: 'draining', sequence: 3 }),
  );
  await bench.waitForLine('server leaving', ({ server }) => server === leaving.id);
  bench.store.restoreSnapshot();
  await bench.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  for (let call = 0; call < CALLS_SENT; call += 1) {
    t.not((await callAnyServer(bench, { id: `call-${call}` })).id, leaving.id);
  }
});

test('a server whose entry went stays out while the store shows it again', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  const [gone] = bench.servers as [StandInServer];
  bench.store.saveSnapshot();
  bench.store.writeRow(TABLES.servers, gone.id, null);
  await bench.waitForLine('server gone', ({ server }) => server === gone.id);
  bench.store.restoreSnapshot();
  await bench.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  for (let call = 0; call < CALLS_SENT; call += 1) {
    t.not((await callAnyServer(bench, { id: `call-${call}` })).id, gone.id);
  }
});

test('a server that the copy lacks is used until it is written again', async (t) => {
  const bench = await startTestGateway();
  t.teardown(bench.stop);
  const [kept, late] = bench.servers as [StandInServer, StandInServer];
  bench.store.writeRow(TABLES.servers, late.id, null);
  bench.store.saveSnapshot();
  bench.store.writeRow(TABLES.servers, late.id, buildWireEntry(late, { sequence: 5 }));
  bench.store.writeRow(TABLES.servers, kept.id, null);
  await bench.waitForLine('server gone', ({ server }) => server === kept.id);
  bench.store.restoreSnapshot();
  await bench.waitForLine('store era', ({ era, table }) => era === 2 && table === TABLES.servers);
  t.is((await callAnyServer(bench, { id: 'meanwhile' })).id, late.id);
  bench.store.writeRow(TABLES.servers, late.id, buildWireEntry(late, { sequence: 5 }));
  t.is(
    (await callAnyServer(bench, { id: 'after', headers: { [HEADERS.load]: '0,0,8' } })).id,
    late.id,
  );
});
