import test from 'ava';
import { createResilientTableStore, TABLE_POLICY } from '..';
import {
  createFakeClock,
  createMemoryTableStore,
  createSeededRandomness,
} from '../../../../standins/fakes';

function startStore() {
  const clock = createFakeClock();
  const table = createMemoryTableStore();
  const store = createResilientTableStore(table, TABLE_POLICY, {
    clock,
    randomness: createSeededRandomness(1),
  });
  const write = () =>
    store.writeItem(
      { partition: 'p', sort: 's', revision: 1, body: '{}', expiresAtS: 0 },
      { kind: 'any' },
    );
  return { clock, table, store, write };
}

test('no operation exceeds its deadline in an outage', async (t) => {
  // Guards against requests that pile up during an outage: the table stops answering or refuses
  // every call for a minute, and each request waits and retries.
  for (const outage of ['hang', 'unavailable'] as const) {
    const { clock, table, store, write } = startStore();
    table.setOutage(outage);
    for (let round = 0; round < 60; round += 1) {
      const startMs = clock.readMonotonicMs();
      const ends: number[] = [];
      const record = () => ends.push(clock.readMonotonicMs() - startMs);
      const calls = [write().then(record), store.readItem('p', 's').then(record)];
      await clock.advanceAsync(1000);
      await Promise.all(calls);
      t.true(Math.max(...ends) <= TABLE_POLICY.deadlineMs);
    }
    // Most of the 120 operations failed at once, without a call.
    t.true(table.countReads() + table.countWrites() <= 75);
    t.is(clock.countTimers(), 0);
  }
});

test('an open circuit breaker fails calls at once and lets one probe through', async (t) => {
  const { clock, table, store, write } = startStore();
  table.setOutage('unavailable');
  const down = Array.from({ length: 5 }, write);
  await clock.advanceAsync(0);
  await Promise.all(down);
  table.resetCounts();
  const refused = (await store.readItem('p', 's'))._unsafeUnwrapErr();
  t.is(table.countReads(), 0);
  t.is(refused.kind, 'unavailable');
  await clock.advanceAsync(refused.kind === 'unavailable' ? refused.retryAfterMs : 0);
  table.setOutage('hang');
  const probe = store.readItem('p', 's');
  t.is((await write())._unsafeUnwrapErr().kind, 'unavailable');
  t.is(table.countReads() + table.countWrites(), 1);
  await clock.advanceAsync(500);
  t.true((await probe).isErr());
  table.setOutage('none');
  await clock.advanceAsync(2000);
  t.true((await write()).isOk());
  t.true((await store.readItem('p', 's')).isOk());
});

test('an ambiguous write is sent once, a refused one is retried', async (t) => {
  // Guards against a conditional write that conflicts with itself: the write takes effect, its
  // response is lost, and the client retries as if it had failed.
  const { clock, table, write } = startStore();
  table.loseNextAnswers(1);
  t.is((await write())._unsafeUnwrapErr().kind, 'ambiguous');
  t.is(table.countWrites(), 1);
  table.setOutage('unavailable');
  const second = write();
  await new Promise(setImmediate);
  table.setOutage('none');
  await clock.advanceAsync(100);
  t.true((await second).isOk());
  t.is(table.countWrites(), 3);
});

test('retries stay within the retry budget', async (t) => {
  const { clock, table, store } = startStore();
  let reads = 0;
  for (let n = 0; n < 400; n += 1) {
    // Only every second read fails, so that the circuit breaker stays closed.
    table.setOutage(n % 2 === 0 ? 'unavailable' : 'none');
    const read = store.readItem('p', 's');
    await clock.advanceAsync(200);
    await read;
    reads += 1;
  }
  const retries = table.countReads() - reads;
  t.true(retries <= TABLE_POLICY.budget.maxTokens + 0.1 * reads, `${retries} retries`);
  t.true(retries > 0);
});
