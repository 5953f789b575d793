import test from 'ava';
import { err, ok } from 'neverthrow';
import { createFakeClock } from '../../../../standins/fakes';
import type { SharedRow } from '../../ports';
import { createServerDirectory } from '.';

const QUIET = { info: () => undefined, warn: () => undefined, error: () => undefined };

const STORE = { source: 'store', outageEndedAtMs: null } as const;

const setUp = () => {
  const clock = createFakeClock();
  const gone: string[] = [];
  const suspected: string[] = [];
  const inferred: string[] = [];
  const directory = createServerDirectory({
    decode: (id, value) => {
      if (value.length === 0) return err('malformed');
      const [address = '', state = '', born] = value.toString('utf8').split(' ');
      return ok({
        id,
        service: 's',
        address,
        availabilityZone: 'z1',
        slots: 4,
        isLeaving: state === 'leaving',
        warmupLeftMs: 0,
        bornMs: born === undefined ? null : Number(born),
      });
    },
    clock,
    log: QUIET,
    handleGone: (id) => gone.push(id),
    handleSuspected: (id) => suspected.push(id),
    handleInferred: ({ id }) => inferred.push(id),
    reuseAfterMs: 2000,
  });
  const listIds = (): string[] => directory.listServing('s').map(({ entry }) => entry.id);
  return { clock, directory, gone, inferred, listIds, suspected };
};

const buildRow = (key: string, text: string | null, version = 1): SharedRow => ({
  key,
  value: text === null ? null : Buffer.from(text),
  version,
});

test('a server that leaves, or whose entry is removed, takes no new work', (t) => {
  const { directory, gone, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1'), buildRow('b', 'x:2')], STORE);
  t.deepEqual(listIds(), ['a', 'b']);
  directory.applyRows([buildRow('a', 'x:1 leaving')], STORE);
  t.deepEqual(listIds(), ['b']);
  t.is(directory.findServing('a'), null);
  directory.applyRows([buildRow('b', null)], STORE);
  t.deepEqual(listIds(), []);
  t.deepEqual(gone, ['b']);
});

// Symptom: after an outage of the store no server is left, although all of them serve.
// Sequence: entries lapse while the store is down; it returns; the servers write them anew.
// Cause: an entry that is missing is taken for a server that is gone.
test('an entry that lapsed in an outage counts until it should be back, then is gone', (t) => {
  const { clock, directory, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1'), buildRow('b', 'x:2')], STORE);
  const info = { source: 'store', outageEndedAtMs: clock.readMonotonicMs() } as const;
  directory.applyRows([buildRow('a', null), buildRow('b', null)], info);
  t.deepEqual(listIds(), ['a', 'b']);
  clock.advance(1000);
  directory.applyRows([buildRow('a', 'x:1')], info);
  clock.advance(2000);
  t.deepEqual(listIds(), ['a']);
});

test('a new server at an address proves that the one before has ended', (t) => {
  const { directory, gone, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.applyRows([buildRow('b', 'x:1')], STORE);
  t.deepEqual(listIds(), ['b']);
  t.deepEqual(gone, ['a']);
});

test('a failed server is suspected for a time that doubles, until it answers', (t) => {
  const { clock, directory, suspected } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.recordSuspicion('a', 'not-connected');
  t.false(directory.isTrusted('a'));
  // Attempts that fail together are one failure.
  directory.recordSuspicion('a', 'broken');
  clock.advance(1000);
  t.true(directory.isTrusted('a'));
  directory.recordSuspicion('a', 'silent');
  clock.advance(1500);
  t.false(directory.isTrusted('a'));
  directory.recordSuccess('a');
  t.true(directory.isTrusted('a'));
  t.deepEqual(suspected, ['a', 'a']);
});

// Symptom: a VM that is cut off makes all others avoid sound servers.
// Sequence: it suspects every server, and says so; the others have just had answers of them.
// Cause: what another VM says weighs as much as what a VM saw itself.
test('what another VM says does not outweigh an answer that this VM just had', (t) => {
  const { clock, directory, suspected } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.recordSuccess('a');
  directory.recordSuspicion('a', 'told');
  t.true(directory.isTrusted('a'));
  clock.advance(500);
  directory.recordSuspicion('a', 'told');
  t.false(directory.isTrusted('a'));
  t.deepEqual(suspected, []);
});

test('work and copies are counted until they are released, once', (t) => {
  const { directory } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  const work = directory.startWork('a', { prefillTokens: 8000 });
  const releaseCopy = directory.addCopy('a');
  const read = () => directory.listServing('s')[0];
  t.is(read()?.running, 1);
  t.is(read()?.prefillTokens, 8000);
  t.is(read()?.copies, 1);
  work.recordFirstEvent();
  t.is(read()?.prefillTokens, 0);
  work.release();
  work.release();
  releaseCopy();
  releaseCopy();
  t.is(read()?.running, 0);
  t.is(read()?.copies, 0);
});

// Symptom: 41 lookups fail in four seconds because one server is silent, up to nine on one VM.
// Sequence: the time of its suspicion is over; all calls of the next moments go to it, as it is the
// least loaded; each waits for a connection that is never made.
// Cause: a server that failed counts as sound again before anything has shown that it is.
test('a server whose suspicion is over gets one request until it has answered', (t) => {
  const { clock, directory } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  const isSuspected = (): boolean | undefined => directory.listServing('s')[0]?.isSuspected;
  directory.recordSuspicion('a', 'not-connected');
  clock.advance(1001);
  t.false(isSuspected());
  const trial = directory.startWork('a', { prefillTokens: 0 });
  t.true(isSuspected());
  trial.release();
  t.false(isSuspected());
  const next = directory.startWork('a', { prefillTokens: 0 });
  directory.recordSuccess('a');
  t.false(isSuspected());
  next.release();
  directory.startWork('a', { prefillTokens: 0 });
  t.false(isSuspected());
});

// Symptom: streams of a server go on as if its runs were there, and new ones count them as load.
// Sequence: a server crashes and starts again under its old id; its entry never went away.
// Cause: the id alone was taken for the server.
test('a later birth under the same id voids what was believed, an earlier one changes nothing', (t) => {
  const { directory, gone, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1 ready 1000')], STORE);
  let voids = 0;
  const work = directory.startWork('a', {
    prefillTokens: 8000,
    handleVoid: () => {
      voids += 1;
    },
  });
  directory.addCopy('a');
  directory.recordSuspicion('a', 'silent');
  directory.recordBorn('a', 1000);
  directory.applyRows([buildRow('a', 'x:1 ready 900')], STORE);
  t.is(voids, 0);
  directory.recordBorn('a', 2000);
  t.is(voids, 1);
  t.deepEqual(gone, ['a']);
  const [status] = directory.listServing('s');
  t.is(status?.running, 0);
  t.is(status?.copies, 0);
  t.false(status?.isSuspected);
  work.release();
  t.is(directory.listServing('s')[0]?.running, 0);
  directory.applyRows([buildRow('a', 'x:1 leaving 1000')], STORE);
  t.deepEqual(listIds(), ['a']);
});

test('an entry that can not be read names no server to use, also of one that was known', (t) => {
  const { directory, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1'), buildRow('b', 'x:2'), buildRow('c', '')], STORE);
  t.deepEqual(listIds(), ['a', 'b']);
  directory.applyRows([buildRow('a', '')], STORE);
  t.deepEqual(listIds(), ['b']);
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  t.deepEqual(listIds(), ['b', 'a']);
});

// Symptom: in an outage of the store 1 stream in 5 is served for ten seconds.
// Sequence: the servers of two zones crash and are back after 1.2 s, under new ids; the store, which
// alone names these, is away for 8 s.
// Cause: a server whose address has another id counts as gone, and nobody is known in its place.
test('a server that is met at the address of one that just answered takes its place', (t) => {
  const { clock, directory, inferred, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.recordSuccess('a');
  clock.advance(1500);
  directory.recordReplaced('a', 'b');
  t.deepEqual(listIds(), ['b']);
  t.deepEqual(inferred, ['b']);
  // Late entries of the one before change nothing.
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  t.deepEqual(listIds(), ['b']);
  clock.advance(5000);
  directory.recordAlive('b');
  clock.advance(5000);
  t.deepEqual(listIds(), ['b']);
  directory.applyRows([buildRow('b', 'x:1')], STORE);
  clock.advance(60_000);
  t.deepEqual(listIds(), ['b']);
});

// Symptom: of four servers that crash and restart within 1.2 s only one is met again.
// Sequence: each is suspected for 1 s; it is back 0.2 s later.
// Cause: its id was asked for only as long as the suspicion lasted.
test('the id of a failed server is asked for until its address may be of another service', (t) => {
  const { clock, directory } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.recordSuccess('a');
  t.is(directory.listUncertain().length, 0);
  directory.recordSuspicion('a', 'broken');
  clock.advance(1900);
  t.is(directory.listUncertain().length, 1);
  clock.advance(100);
  t.is(directory.listUncertain().length, 0);
});

test('nothing is concluded of an address that may be of another service by now', (t) => {
  const { clock, directory, inferred, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1'), buildRow('c', 'x:3')], STORE);
  directory.recordSuccess('a');
  clock.advance(2000);
  directory.recordReplaced('a', 'b');
  directory.recordReplaced('c', 'd');
  t.deepEqual(listIds(), []);
  t.deepEqual(inferred, []);
});

test('a server without an entry that does not answer any more is forgotten', (t) => {
  const { clock, directory, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  directory.recordSuccess('a');
  directory.recordReplaced('a', 'b');
  clock.advance(2500);
  t.deepEqual(
    directory.listUncertain().map(({ id }) => id),
    ['b'],
  );
  clock.advance(3500);
  t.deepEqual(listIds(), []);
  t.is(directory.countInferred(), 0);
  directory.applyRows([buildRow('b', 'x:1')], STORE);
  t.deepEqual(listIds(), ['b']);
});
