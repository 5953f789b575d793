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

test('writes under conditions, reads and lists consistently', async (t) => {
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

test('tells a lost answer from a refused connection', async (t) => {
  // Symptom: a claim is said to have failed, yet its row stands; or a refused call is taken for a
  // write that may have run. Sequence: the table applies a write and the connection breaks; later
  // nobody listens. Cause: both look like a failed call unless one knows whether bytes left.
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
  // Only a new connection is refused; on a kept one that was just closed a write may have left.
  const secondClient = connectTo(table, createSystemClock(), 20_000);
  t.teardown(secondClient.disconnect);
  await table.setFaults({ outage: 'refuse' });
  const refused = await secondClient.store.writeItem(buildItem(3), { kind: 'any' });
  t.is(refused._unsafeUnwrapErr().kind, 'unavailable');
  await table.setFaults({ outage: 'none' });
  t.deepEqual((await secondClient.store.readItem('p', 's'))._unsafeUnwrap(), buildItem(1));
});

test('a write whose deadline passes in the queue is never sent', async (t) => {
  // Symptom: a caller is told `not-run`, and its claim appears in the table a moment later.
  // Sequence: all connections wait on a silent table; the deadline of a write in the queue
  // passes; a connection becomes free. Cause: the client sends what it still has queued.
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
  // The next call goes out on the same connections, behind whatever was queued.
  t.is((await store.readItem('p', 'row-16'))._unsafeUnwrap(), null);
  t.is(table.readCounts().writes, 16);
});
