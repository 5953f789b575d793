import test from 'ava';
import {
  buildDirectoryRow as buildRow,
  createDirectoryFixture as setUp,
  STORE,
} from '../../../../../standins/fakes';

// Symptom: streams of a server go on as if its runs were there, and new ones count them as load.
// Sequence: a server crashes and starts again under its old id; its entry never went away.
// Cause: the id alone was taken for the server.
test('a later birth under the same id voids what was believed, an earlier one changes nothing', (t) => {
  const { directory, gone, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1 ready 1000')], STORE);
  let voids = 0;
  const work = directory.startWork('a', {
    prefillTokens: 8000,
    handleLoss: () => {
      voids += 1;
    },
  });
  directory.addCopy('a');
  directory.recordSuspicion('a', 'silent');
  directory.recordStartTime('a', 1000);
  directory.applyRows([buildRow('a', 'x:1 ready 900')], STORE);
  t.is(voids, 0);
  directory.recordStartTime('a', 2000);
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
  t.is(directory.listUnverified().length, 0);
  directory.recordSuspicion('a', 'broken');
  clock.advance(1900);
  t.is(directory.listUnverified().length, 1);
  clock.advance(100);
  t.is(directory.listUnverified().length, 0);
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
    directory.listUnverified().map(({ id }) => id),
    ['b'],
  );
  clock.advance(3500);
  t.deepEqual(listIds(), []);
  t.is(directory.pruneInferred(), 0);
  directory.applyRows([buildRow('b', 'x:1')], STORE);
  t.deepEqual(listIds(), ['b']);
});

// Symptom: a sound server gets no work any more, and its streams break off.
// Sequence: another writer's entry names its address.
// Cause: an entry was taken for proof that the server before it has ended for good.
test('an entry with the address of a sound server neither breaks its runs nor keeps it away', (t) => {
  const { directory, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  let voids = 0;
  directory.startWork('a', {
    prefillTokens: 0,
    handleLoss: () => {
      voids += 1;
    },
  });
  directory.applyRows([buildRow('foreign', 'x:1')], STORE);
  t.is(voids, 0);
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  t.deepEqual(listIds(), ['a']);
});

// Symptom: a server that has started again gets nothing until its next entry.
// Sequence: it says that it leaves, starts again under its old id, and its report says so first.
// Cause: the word of the start before is kept.
test('a server that left and started again under its id takes work again', (t) => {
  const { directory, listIds } = setUp();
  directory.applyRows([buildRow('a', 'x:1 ready 1000')], STORE);
  directory.recordLeaving('a');
  t.deepEqual(listIds(), []);
  directory.applyRows([buildRow('a', 'x:1 ready 1000')], STORE);
  t.deepEqual(listIds(), []);
  directory.recordStartTime('a', 2000);
  t.deepEqual(listIds(), ['a']);
});
