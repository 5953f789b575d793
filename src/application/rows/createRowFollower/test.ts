import test from 'ava';
import { err, ok, type Result } from 'neverthrow';
import { createFakeClock, createSeededRandomness } from '../../../../standins/fakes';
import type { EventFields, RowChanges, RowError, SharedRow } from '../../ports';
import { createStoreClockConverter } from '../_lib/createStoreClockConverter';
import type { RowsOrigin } from '../types';
import { createRowFollower } from '.';

const buildRow = (key: string, version: number, value: string | null = key): SharedRow => ({
  key,
  value: value === null ? null : Buffer.from(value),
  version,
});

/** A follower whose source answers what the test says, call by call. */
const setUp = () => {
  const clock = createFakeClock();
  const reads: Result<RowChanges, RowError>[] = [];
  const feeds: Result<RowChanges, RowError>[] = [];
  const asked: number[] = [];
  const taken: { readonly rows: readonly SharedRow[]; readonly info: RowsOrigin }[] = [];
  const lines: (EventFields & { readonly message: string })[] = [];
  const take = (message: string, fields: EventFields): void => {
    lines.push({ message, ...fields });
  };
  const never = Promise.race<Result<RowChanges, RowError>>([]);
  const follower = createRowFollower({
    table: 't',
    store: {
      readRows: async () => reads.shift() ?? never,
      followRows: async (_table, { version }) => {
        asked.push(version);
        return feeds.shift() ?? never;
      },
    },
    storeClock: createStoreClockConverter(clock),
    readWaitMs: () => 2500,
    waitUntilFollowing: async () => undefined,
    isFollowing: () => true,
    staleMs: Infinity,
    burstPauseMs: 600,
    clock,
    randomness: createSeededRandomness(1),
    log: { info: take, warn: take, error: take },
    handleRows: (rows, info) => taken.push({ rows, info }),
  });
  const listKeys = (): string[] =>
    taken.flatMap(({ rows }) =>
      rows.map(({ key, value }) => `${value === null ? '-' : '+'}${key}`),
    );
  return { asked, clock, feeds, follower, lines, listKeys, reads, taken };
};

const UNAVAILABLE = err({ kind: 'unavailable', reason: 'status 503' } as const);

test('all rows are read once, then changes are followed from there', async (t) => {
  const { asked, clock, feeds, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3)], version: 5 }));
  feeds.push(ok({ rows: [buildRow('b', 6), buildRow('a', 7, null)], version: 7 }));
  follower.start();
  await clock.advanceAsync(1000);
  t.deepEqual(listKeys(), ['+a', '+b', '-a']);
  t.deepEqual(asked, [5, 7]);
  t.is(follower.readVersion(), 7);
});

// Symptom: a server that has left gets requests for good.
// Sequence: the store drops its history while a row is removed.
// Cause: a whole read says nothing of rows that are not there any more.
test('rows that a whole read lacks after lost history count as removed', async (t) => {
  const { clock, feeds, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3), buildRow('b', 4)], version: 5 }));
  feeds.push(err({ kind: 'history-lost' }));
  reads.push(ok({ rows: [buildRow('b', 4)], version: 9 }));
  follower.start();
  await clock.advanceAsync(1000);
  t.deepEqual(listKeys(), ['+a', '+b', '-a']);
  t.is(follower.readVersion(), 9);
});

// Symptom: a configuration goes back to an older one.
// Sequence: a late answer, or a peer that lags, brings an older version of a row.
// Cause: rows are taken in the order of their arrival.
test('an older version of a row changes nothing', async (t) => {
  const { clock, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 8)], version: 8 }));
  follower.start();
  await clock.advanceAsync(10);
  follower.mergeChanges({ rows: [buildRow('a', 4, 'old')], version: 4 }, 0);
  t.deepEqual(listKeys(), ['+a']);
  t.is(follower.readVersion(), 8);
});

test('news of a peer with a gap before them is taken, but not for complete', async (t) => {
  const { clock, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  follower.start();
  await clock.advanceAsync(10);
  follower.mergeChanges({ rows: [buildRow('z', 20)], version: 20 }, 12);
  t.deepEqual(listKeys(), ['+z']);
  t.is(follower.readVersion(), 5);
  follower.mergeChanges({ rows: [buildRow('y', 7)], version: 20 }, 5);
  t.is(follower.readVersion(), 20);
});

test('an outage is logged once, retried, and its end told with the rows after it', async (t) => {
  const { clock, feeds, follower, lines, reads, taken } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  feeds.push(UNAVAILABLE, UNAVAILABLE, ok({ rows: [buildRow('a', 6, null)], version: 6 }));
  follower.start();
  await clock.advanceAsync(2000);
  t.is(lines.filter(({ message }) => message === 'store lost').length, 1);
  t.is(lines.filter(({ message }) => message === 'store regained').length, 1);
  t.true(follower.isStoreReachable());
  t.not(taken.at(-1)?.info.outageEndedAtMs ?? null, null);
});

// Symptom: after an outage VMs went on with an old configuration; no line told since when they had
// heard nothing, nor which call was waited for.
// Sequence: one call fails and begins an outage; the next one is lost as well.
// Cause: only the first failure of an outage was told.
test('each call that fails is told, with how long it had waited, and the age of what is known', async (t) => {
  const { clock, feeds, follower, lines, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  feeds.push(UNAVAILABLE, UNAVAILABLE);
  t.is(follower.readAgeMs(), Infinity);
  follower.start();
  await clock.advanceAsync(3000);
  const failed = lines.filter(({ message }) => message === 'store call failed');
  t.deepEqual(
    failed.map(({ call, failures, reason, version }) => ({ call, failures, reason, version })),
    [1, 2].map((failures) => ({ call: 'feed', failures, reason: 'status 503', version: 5 })),
  );
  t.is(follower.readAgeMs(), 3000);
});

// Symptom: a VM that follows another one goes on to use a server that has left, for good.
// Sequence: a server leaves at version 4; a VM starts, and reads all rows of version 5; one that
// stands at version 3 asks it for what came after.
// Cause: rows that went before the first whole read were taken for known, so that the changes told
// began at the version asked for although a removal among them was missing.
test('a VM that stands before the first whole read is given all rows, not changes', async (t) => {
  const { clock, feeds, follower, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3), buildRow('b', 5)], version: 5 }));
  feeds.push(ok({ rows: [buildRow('c', 6)], version: 6 }));
  follower.start();
  await clock.advanceAsync(10);
  t.is(follower.listChanges(3), null);
  t.deepEqual(
    follower.listChanges(5)?.rows.map(({ key }) => key),
    ['c'],
  );
  t.is(follower.listChanges(0)?.rows.length, 3);
});

test('rows that a VM told all of lacks count as removed, but not newer ones', async (t) => {
  const { clock, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3), buildRow('b', 4)], version: 4 }));
  follower.start();
  await clock.advanceAsync(10);
  follower.mergeChanges({ rows: [buildRow('n', 9)], version: 9 }, 8);
  follower.mergeChanges({ rows: [buildRow('b', 4)], version: 7 }, 0);
  t.deepEqual(listKeys(), ['+a', '+b', '+n', '-a']);
  t.is(follower.readVersion(), 7);
});

// Symptom: after a VM was suspended it told others that its old rows were young.
// Sequence: the VM is suspended for eight seconds, in which the store changes; it wakes.
// Cause: the steady clock stands still meanwhile; only the time of day goes on.
test('what is known grows older while the VM is suspended', async (t) => {
  const { clock, follower, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  follower.start();
  await clock.advanceAsync(10);
  clock.jumpWall(clock.readWallMs() + 8000);
  t.true(follower.readAgeMs() >= 8000);
  clock.jumpWall(clock.readWallMs() - 60_000);
  t.true(follower.readAgeMs() < 100);
});

// Symptom: VMs asked the store thousands of times a second.
// Sequence: the store answers a call that waits at once, and without changes.
// Cause: the next call was sent as soon as the one before was answered.
test('a store that does not wait is not asked without end', async (t) => {
  const { asked, clock, feeds, follower, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  feeds.push(...Array.from({ length: 50 }, () => ok({ rows: [], version: 5 })));
  follower.start();
  await clock.advanceAsync(2000);
  t.true(asked.length <= 6, `${asked.length} calls`);
});

// Symptom: 150 calls a VM to a store in its first second, before anything is written to it.
// Sequence: the store answers that it has no row, and has never had one.
// Cause: a version of 0 is taken for nothing known.
test('the first row of an empty store is waited for, not asked for again and again', async (t) => {
  const { asked, feeds, follower, listKeys, reads, clock } = setUp();
  reads.push(ok({ rows: [], version: 0 }));
  feeds.push(ok({ rows: [], version: 0 }), ok({ rows: [buildRow('a', 1)], version: 1 }));
  follower.start();
  await clock.advanceAsync(0);
  t.deepEqual(asked, [0]);
  await clock.advanceAsync(1000);
  t.deepEqual(asked, [0, 0]);
  t.deepEqual(listKeys(), ['+a']);
  follower.stop();
});
