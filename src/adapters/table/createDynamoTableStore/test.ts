import test from 'ava';
import { createDynamoTableStore } from '..';
import { createFakeClock } from '../../../../standins/fakes';
import { createStandInTable, type StandInTable } from '../../../../standins/table';
import type { Clock, TableItem } from '../../../application/ports';
import { createPlatformDispatcher } from '../../platform-http';
import { createSystemClock } from '../../system';

function connectTo(table: StandInTable, clock: Clock, deadlineMs: number) {
  const dispatcher = createPlatformDispatcher();
  const store = createDynamoTableStore(
    {
      endpoint: table.url,
      tableName: 'jackdaw',
      accessKeyId: 'key',
      secretAccessKey: 'secret',
      region: 'local',
      deadlineMs,
    },
    { clock, dispatcher },
  );
  return { store, disconnect: () => dispatcher.destroy() };
}

async function startTable(clock: Clock = createSystemClock(), deadlineMs = 20_000) {
  const table = await createStandInTable();
  const { store, disconnect } = connectTo(table, clock, deadlineMs);
  const close = async () => {
    await disconnect();
    await table.close();
  };
  return { table, store, close };
}

const buildItem = (revision: number, sort = 's'): TableItem => ({
  partition: 'p',
  sort,
  revision,
  body: `{"n":${revision}}`,
  expiresAtS: 7,
});

test('items are written under conditions, read and listed consistently', async (t) => {
  const { store, close } = await startTable();
  t.teardown(close);
  t.is((await store.readItem('p', 's'))._unsafeUnwrap(), null);
  t.true((await store.writeItem(buildItem(1), { kind: 'absent' })).isOk());
  t.deepEqual((await store.readItem('p', 's'))._unsafeUnwrap(), buildItem(1));
  t.deepEqual((await store.writeItem(buildItem(9), { kind: 'absent' }))._unsafeUnwrapErr(), {
    kind: 'condition-failed',
    current: buildItem(1),
  });
  t.true((await store.writeItem(buildItem(2), { kind: 'revision', revision: 1 })).isOk());
  t.is(
    (await store.removeItem('p', 's', { kind: 'revision', revision: 1 }))._unsafeUnwrapErr().kind,
    'condition-failed',
  );
  t.true((await store.writeItem(buildItem(5, 'a'), { kind: 'any' })).isOk());
  const listed = await store.listItems('p', { limit: 1, descending: true });
  t.deepEqual(listed._unsafeUnwrap(), [buildItem(2)]);
  t.true((await store.removeItem('p', 's', { kind: 'any' })).isOk());
  t.is((await store.readItem('p', 's'))._unsafeUnwrap(), null);
});

test('a lost answer is ambiguous, and a refused connection is unavailable', async (t) => {
  // Guards against a claim that is reported as failed although its row was written, and a refused
  // call that is reported as a write that may have run. Both look like a failed call unless the
  // client records whether the request was sent: the table applies a write and the connection
  // breaks; later no server listens.
  const { table, store, close } = await startTable();
  t.teardown(close);
  await table.setFaults({ loseAnswers: 1 });
  t.is(
    (await store.writeItem(buildItem(1), { kind: 'absent' }))._unsafeUnwrapErr().kind,
    'ambiguous',
  );
  t.deepEqual((await store.readItem('p', 's'))._unsafeUnwrap(), buildItem(1));
  await table.setFaults({ dropRequests: 1 });
  t.is((await store.writeItem(buildItem(3), { kind: 'any' }))._unsafeUnwrapErr().kind, 'ambiguous');
  t.deepEqual((await store.readItem('p', 's'))._unsafeUnwrap(), buildItem(1));
  await table.setFaults({ outage: 'error' });
  t.is((await store.writeItem(buildItem(3), { kind: 'any' }))._unsafeUnwrapErr().kind, 'ambiguous');
  t.is((await store.readItem('p', 's'))._unsafeUnwrapErr().kind, 'unavailable');
  // Only a new connection is refused; on a keep-alive one that was just closed, a write may have
  // been sent.
  const secondClient = connectTo(table, createSystemClock(), 20_000);
  t.teardown(secondClient.disconnect);
  await table.setFaults({ outage: 'refuse' });
  const refused = await secondClient.store.writeItem(buildItem(3), { kind: 'any' });
  t.is(refused._unsafeUnwrapErr().kind, 'unavailable');
  await table.setFaults({ outage: 'none' });
  t.deepEqual((await secondClient.store.readItem('p', 's'))._unsafeUnwrap(), buildItem(1));
});

test('a write whose deadline passes in the queue is never sent', async (t) => {
  // Guards against a caller that is told `not-run` while its claim appears in the table a moment
  // later. All connections wait for an unresponsive table, the deadline of a queued write passes,
  // and once a connection is free the client sends the queued write.
  const clock = createFakeClock();
  const { table, store, close } = await startTable(clock, 300);
  t.teardown(close);
  await table.setFaults({ outage: 'hang' });
  const queuedWrites = Array.from({ length: 17 }, (_, n) =>
    store.writeItem(buildItem(1, `row-${n}`), { kind: 'absent' }),
  );
  while (table.readCounts().writes < 16) await new Promise(setImmediate);
  await table.setFaults({ outage: 'none' });
  clock.advance(300);
  const kinds = (await Promise.all(queuedWrites)).map((result) => result._unsafeUnwrapErr().kind);
  t.deepEqual(kinds, [...Array(16).fill('ambiguous'), 'unavailable']);
  // The next call uses the same connections, after any queued calls.
  t.is((await store.readItem('p', 'row-16'))._unsafeUnwrap(), null);
  t.is(table.readCounts().writes, 16);
});
