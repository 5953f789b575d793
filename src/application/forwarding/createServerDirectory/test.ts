import test from 'ava';
import {
  buildDirectoryRow as buildRow,
  createDirectoryFixture as setUp,
  STORE,
} from '../../../../standins/fakes';

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
  const info = {
    source: 'store',
    outageEndedAtMs: clock.readMonotonicMs(),
    isRestored: false,
  } as const;
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
  t.false(directory.isHealthy('a'));
  // Attempts that fail together are one failure.
  directory.recordSuspicion('a', 'broken');
  clock.advance(1000);
  t.true(directory.isHealthy('a'));
  directory.recordSuspicion('a', 'silent');
  clock.advance(1500);
  t.false(directory.isHealthy('a'));
  directory.recordSuccess('a');
  t.true(directory.isHealthy('a'));
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
  t.true(directory.isHealthy('a'));
  clock.advance(500);
  directory.recordSuspicion('a', 'told');
  t.false(directory.isHealthy('a'));
  t.deepEqual(suspected, []);
});

test('work and copies are counted until they are released, once', (t) => {
  const { directory } = setUp();
  directory.applyRows([buildRow('a', 'x:1')], STORE);
  const work = directory.startWork('a', { prefillTokens: 8000 });
  const releaseCopy = directory.addCopy('a');
  const read = () => directory.listServing('s')[0];
  t.is(read()?.running, 1);
  t.is(read()?.pendingPrefillTokens, 8000);
  t.is(read()?.copies, 1);
  work.recordFirstEvent();
  t.is(read()?.pendingPrefillTokens, 0);
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
