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

/** Creates a follower whose source returns the results that the test queues, call by call. */
const setUp = () => {
  const clock = createFakeClock();
  const reads: Result<RowChanges, RowError>[] = [];
  const feeds: Result<RowChanges, RowError>[] = [];
  const requestedVersions: number[] = [];
  const deliveries: { readonly rows: readonly SharedRow[]; readonly info: RowsOrigin }[] = [];
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
        requestedVersions.push(version);
        return feeds.shift() ?? never;
      },
    },
    storeClock: createStoreClockConverter(clock),
    readWaitMs: () => 2500,
    waitUntilFollowing: async () => undefined,
    isFollowing: () => true,
    staleMs: Infinity,
    times: { overdueMs: 200, repeatMs: 400 },
    burstPauseMs: 600,
    clock,
    randomness: createSeededRandomness(1),
    log: { info: take, warn: take, error: take },
    handleRows: (rows, info) => deliveries.push({ rows, info }),
  });
  const listKeys = (): string[] =>
    deliveries.flatMap(({ rows }) =>
      rows.map(({ key, value }) => `${value === null ? '-' : '+'}${key}`),
    );
  return { requestedVersions, clock, feeds, follower, lines, listKeys, reads, deliveries };
};

const UNAVAILABLE = err({ kind: 'unavailable', reason: 'status 503' } as const);

test('all rows are read once, then changes are followed from that version', async (t) => {
  const { requestedVersions, clock, feeds, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3)], version: 5 }));
  feeds.push(ok({ rows: [buildRow('b', 6), buildRow('a', 7, null)], version: 7 }));
  follower.start();
  await clock.advanceAsync(1000);
  t.deepEqual(listKeys(), ['+a', '+b', '-a']);
  t.deepEqual(requestedVersions, [5, 7]);
  t.is(follower.readVersion(), 7);
});

// Guards against requests being sent forever to a server that has left: the store drops its history
// while a row is removed, and a full read does not list removed rows.
test('rows missing from a full read after lost history count as removed', async (t) => {
  const { clock, feeds, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3), buildRow('b', 4)], version: 5 }));
  feeds.push(err({ kind: 'history-lost' }));
  reads.push(ok({ rows: [buildRow('b', 4)], version: 9 }));
  follower.start();
  await clock.advanceAsync(1000);
  t.deepEqual(listKeys(), ['+a', '+b', '-a']);
  t.is(follower.readVersion(), 9);
});

// Guards against a configuration that goes back to an older one: a late response, or a lagging
// peer, delivers an older version of a row, and rows are applied in the order of arrival.
test('an older version of a row changes nothing', async (t) => {
  const { clock, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 8)], version: 8 }));
  follower.start();
  await clock.advanceAsync(10);
  follower.mergeChanges({ rows: [buildRow('a', 4, 'old')], version: 4 }, 0);
  t.deepEqual(listKeys(), ['+a']);
  t.is(follower.readVersion(), 8);
});

test('changes of a peer after a gap are applied, but do not advance the version', async (t) => {
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

test('an outage is logged once, and its end is passed along with the rows after it', async (t) => {
  const { clock, feeds, follower, lines, reads, deliveries } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  feeds.push(UNAVAILABLE, UNAVAILABLE, ok({ rows: [buildRow('a', 6, null)], version: 6 }));
  follower.start();
  await clock.advanceAsync(2000);
  t.is(lines.filter(({ message }) => message === 'store lost').length, 1);
  t.is(lines.filter(({ message }) => message === 'store regained').length, 1);
  t.true(follower.isStoreReachable());
  t.not(deliveries.at(-1)?.info.outageEndedAtMs ?? null, null);
});

// Guards against outages that the log does not explain: one call fails and begins an outage, the
// next one is lost as well. With only the first failure logged, no line showed how long a VM had
// used an old configuration, nor which call it waited for.
test('each failed call is logged, and the age of the rows goes on growing', async (t) => {
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

// Guards against a VM that copies another VM's rows and keeps a server that has left: a server
// leaves at version 4; a VM starts and reads all rows at version 5; a VM at version 3 requests the
// changes. The first VM has no tombstone from before its full read, so its changes would lack the
// removal.
test('a VM behind the first full read is given all rows, not changes', async (t) => {
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

test("rows missing from a peer's whole table count as removed, except newer ones", async (t) => {
  const { clock, follower, listKeys, reads } = setUp();
  reads.push(ok({ rows: [buildRow('a', 3), buildRow('b', 4)], version: 4 }));
  follower.start();
  await clock.advanceAsync(10);
  follower.mergeChanges({ rows: [buildRow('n', 9)], version: 9 }, 8);
  follower.mergeChanges({ rows: [buildRow('b', 4)], version: 7 }, 0);
  t.deepEqual(listKeys(), ['+a', '+b', '+n', '-a']);
  t.is(follower.readVersion(), 7);
});

// Guards against a VM that reports old rows as fresh: the VM is suspended for eight seconds, in
// which the store changes. The monotonic clock stops meanwhile; only the wall clock goes on.
test('the age of the rows grows while the VM is suspended', async (t) => {
  const { clock, follower, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  follower.start();
  await clock.advanceAsync(10);
  clock.jumpWall(clock.readWallMs() + 8000);
  t.true(follower.readAgeMs() >= 8000);
  clock.jumpWall(clock.readWallMs() - 60_000);
  t.true(follower.readAgeMs() < 100);
});

// Guards against thousands of calls a second to a store that answers long polls at once without
// changes, while the next call is sent as soon as the one before was answered.
test('a store that answers long polls at once is not polled in a tight loop', async (t) => {
  const { requestedVersions, clock, feeds, follower, reads } = setUp();
  reads.push(ok({ rows: [], version: 5 }));
  feeds.push(...Array.from({ length: 50 }, () => ok({ rows: [], version: 5 })));
  follower.start();
  await clock.advanceAsync(2000);
  t.true(requestedVersions.length <= 6, `${requestedVersions.length} calls`);
});

// Guards against 150 calls a VM in the first second of an empty store: the store answers that it
// has never had a row, and version 0 is taken for rows that were not read yet.
test('the first row of an empty store is awaited with long polls, not repeated reads', async (t) => {
  const { requestedVersions, feeds, follower, listKeys, reads, clock } = setUp();
  reads.push(ok({ rows: [], version: 0 }));
  feeds.push(ok({ rows: [], version: 0 }), ok({ rows: [buildRow('a', 1)], version: 1 }));
  follower.start();
  await clock.advanceAsync(0);
  t.deepEqual(requestedVersions, [0]);
  await clock.advanceAsync(1000);
  t.deepEqual(requestedVersions, [0, 0]);
  t.deepEqual(listKeys(), ['+a']);
  follower.stop();
});
