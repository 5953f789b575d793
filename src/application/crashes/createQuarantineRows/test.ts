import test from 'ava';
import { createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import { createVirtualStore } from '../../../../standins/gateway';
import { decodeQuarantine, type SharedOutcome } from '../../../domain/crashes';
import { createQuarantineRows } from '.';

const RETENTION_MS = 3_600_000;

const setUp = () => {
  const clock = createFakeClock();
  const store = createVirtualStore(clock);
  const merged: SharedOutcome[] = [];
  const quarantined = new Set(['f']);
  const rows = createQuarantineRows({
    table: 't',
    store,
    crashes: {
      findQuarantine: (fingerprint) =>
        quarantined.has(fingerprint)
          ? {
              fingerprint,
              servers: ['i-1', 'i-2'],
              lastCrashAtMs: clock.readMonotonicMs() - 100,
              ranMs: 60,
              isCertain: true,
            }
          : null,
      mergeOutcome: (outcome) => merged.push(outcome) > 0,
    },
    clock,
    log: QUIET_LOG,
    retentionMs: RETENTION_MS,
  });
  const readKeys = async (): Promise<readonly string[]> => {
    const read = store.readRows('t');
    await clock.advanceAsync(10);
    return (await read)._unsafeUnwrap().rows.map(({ key }) => key);
  };
  const write = (key: string, ageMs: number): void =>
    store.writeRow('t', key, {
      servers: ['i-1', 'i-2', 'i-3'],
      last_crash_unix_ms: clock.readWallMs() - ageMs,
    });
  return { clock, merged, quarantined, readKeys, rows, store, write };
};

test('writes a quarantine with the time of its last crash', async (t) => {
  const { clock, rows, store } = setUp();
  rows.startWrite('f');
  await clock.advanceAsync(500);
  const read = store.readRows('t');
  await clock.advanceAsync(10);
  const [row] = (await read)._unsafeUnwrap().rows;
  const { lastCrashAtMs, servers } = decodeQuarantine('f', row!.value!)._unsafeUnwrap();
  t.deepEqual(servers, ['i-1', 'i-2']);
  t.is(lastCrashAtMs, clock.readWallMs() - 110);
});

// Guards against a row that is written again without its last trial, after which the next one follows.
test('keeps what other VMs wrote into the row', async (t) => {
  const { clock, rows, store } = setUp();
  const row = { last_crash_unix_ms: clock.readWallMs(), trial_store_ms: 7, trial_servers: 1 };
  store.writeRow('t', 'f', { ...row, servers: ['i-9'] });
  rows.startWrite('f');
  await clock.advanceAsync(1000);
  const read = store.readRows('t');
  await clock.advanceAsync(10);
  const [written] = (await read)._unsafeUnwrap().rows;
  t.like(decodeQuarantine('f', written!.value!)._unsafeUnwrap(), {
    servers: ['i-9', 'i-1', 'i-2'],
    trialStoreMs: 7,
    trialServers: 1,
  });
});

test('a new process counts a trial without a known outcome as a crash', async (t) => {
  const { clock, merged, rows, store } = setUp();
  store.writeRow('t', 'part-a', {
    servers: ['i-1', 'i-2', 'i-3'],
    last_crash_unix_ms: clock.readWallMs(),
    trial_store_ms: 7,
    trial_servers: 3,
  });
  rows.startRead();
  await clock.advanceAsync(100);
  t.deepEqual(
    merged.map(({ server }) => server),
    ['i-1', 'i-2', 'i-3', 'trial 7'],
  );
});

test('does not write a quarantine that is lifted shortly after', async (t) => {
  const { clock, quarantined, readKeys, rows } = setUp();
  rows.startWrite('f');
  quarantined.clear();
  await clock.advanceAsync(5000);
  t.deepEqual(await readKeys(), []);
});

test('retries until the store is available again', async (t) => {
  const { clock, readKeys, rows, store } = setUp();
  store.setSilent(true);
  rows.startWrite('f');
  await clock.advanceAsync(4000);
  store.setSilent(false);
  await clock.advanceAsync(2000);
  t.deepEqual(await readKeys(), ['f']);
});

test('a new process reads recent quarantines and removes old ones', async (t) => {
  const { clock, merged, readKeys, rows, write } = setUp();
  write('young', 5000);
  write('old', RETENTION_MS);
  rows.startRead();
  await clock.advanceAsync(100);
  t.deepEqual(
    merged.map(({ fingerprint, server }) => `${fingerprint} ${server}`),
    ['young i-1', 'young i-2', 'young i-3'],
  );
  t.true(merged.every(({ ageMs, hasCrashed }) => hasCrashed && ageMs >= 5000 && ageMs < 5100));
  t.deepEqual(await readKeys(), ['young']);
});

test('a new process forgets a hold that was not certain', async (t) => {
  const { clock, merged, readKeys, rows, store } = setUp();
  const lastCrashMs = clock.readWallMs() - 5000;
  store.writeRow('t', 'held', {
    certain: false,
    servers: ['i-1'],
    last_crash_unix_ms: lastCrashMs,
  });
  rows.startRead();
  await clock.advanceAsync(100);
  t.deepEqual([merged, await readKeys()], [[], []]);
});

test('a row that cannot be decoded blocks no other row and is kept', async (t) => {
  const { clock, merged, readKeys, rows, store, write } = setUp();
  store.writeRow('t', 'spoiled', { servers: 7 });
  write('young', 5000);
  rows.startRead();
  await clock.advanceAsync(100);
  t.is(merged.length, 3);
  t.deepEqual(await readKeys(), ['spoiled', 'young']);
});

test('writes a quarantine again after the store lost it, unless the quarantine is over', async (t) => {
  const { clock, quarantined, readKeys, rows, store } = setUp();
  rows.startWrite('f');
  await clock.advanceAsync(600);
  store.restoreSnapshot(1);
  t.deepEqual(await readKeys(), []);
  rows.startRewrite();
  await clock.advanceAsync(100);
  t.deepEqual(await readKeys(), ['f']);
  store.restoreSnapshot(1);
  quarantined.clear();
  rows.startRewrite();
  await clock.advanceAsync(5000);
  t.deepEqual(await readKeys(), []);
});

test('removes a quarantine that an answer has ended, unless it has begun again', async (t) => {
  const { clock, quarantined, readKeys, rows } = setUp();
  rows.startWrite('f');
  await clock.advanceAsync(1000);
  rows.startRemove('f');
  await clock.advanceAsync(1000);
  t.deepEqual(await readKeys(), ['f']);
  quarantined.clear();
  rows.startRemove('f');
  await clock.advanceAsync(1000);
  t.deepEqual(await readKeys(), []);
});

// Guards against quarantines that are never read after a long outage at the start.
test('reads until the store answers, and is not read before', async (t) => {
  const { clock, merged, rows, store, write } = setUp();
  write('f', 1000);
  t.true(rows.isRead());
  store.setSilent(true);
  rows.startRead();
  await clock.advanceAsync(120_000);
  t.false(rows.isRead());
  store.setSilent(false);
  await clock.advanceAsync(2000);
  t.true(rows.isRead());
  t.is(merged.length, 3);
});

test('waits two seconds at most once the configuration is known, and reads on', async (t) => {
  const { clock, merged, rows, store, write } = setUp();
  write('f', 1000);
  store.setSilent(true);
  rows.startRead();
  rows.limitReadWait();
  await clock.advanceAsync(1900);
  rows.limitReadWait();
  t.false(rows.isRead());
  await clock.advanceAsync(200);
  t.true(rows.isRead());
  store.setSilent(false);
  await clock.advanceAsync(2000);
  t.is(merged.length, 3);
});
