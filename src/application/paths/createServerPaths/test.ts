import test from 'ava';
import {
  CHECK_MS,
  createPathsFixture,
  PATH_SERVER_IDS as IDS,
  ROUND_MS,
} from '../../../../standins/paths';

test('a VM that reaches no server sends through a VM that does', async (t) => {
  const { failAt, readRelay, reachedIds, relayedIds } = createPathsFixture({ a: [], b: IDS });
  reachedIds.clear();
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), ['b', 'b', 'b']);
  t.deepEqual([...relayedIds].sort(), IDS);
});

test('a VM that has lost one of its links sends only that traffic through another VM', async (t) => {
  const { failAt, readRelay, reachedIds } = createPathsFixture({ a: IDS });
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), ['a', null, null]);
});

test('a server that no VM reaches is tried directly, and is at fault', async (t) => {
  const { failAt, paths, readRelay, reachedIds } = createPathsFixture({ a: ['i-2', 'i-3'] });
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), [null, null, null]);
  t.true(await paths.judgeFailure('i-1'));
  t.is(await paths.findFailureCause('i-1'), 'server');
});

test('a VM is cut off from a server only if it reaches no other, or another VM reaches this one', async (t) => {
  const down = createPathsFixture({ a: ['i-2', 'i-3'] });
  t.false(down.paths.isCutFrom('i-1'));
  down.reachedIds.delete('i-1');
  await down.failAt('i-1');
  t.false(down.paths.isCutFrom('i-1'));
  const relayed = createPathsFixture({ a: IDS });
  relayed.reachedIds.delete('i-1');
  await relayed.failAt('i-1');
  t.true(relayed.paths.isCutFrom('i-1'));
  const alone = createPathsFixture({});
  alone.reachedIds.clear();
  await alone.failAt('i-1');
  t.true(alone.paths.isCutFrom('i-1'));
});

test('a failure proves nothing against a server at a VM that reaches none', async (t) => {
  const { clock, paths, reachedIds } = createPathsFixture({});
  reachedIds.clear();
  const judged = paths.judgeFailure('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.false(await judged);
  const found = paths.findFailureCause('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.is(await found, 'unknown');
});

test('a server that answers a probe is at fault for a failed request', async (t) => {
  const { clock, paths } = createPathsFixture({ a: IDS });
  const judged = paths.judgeFailure('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.true(await judged);
});

// Guards against a crash that is forgotten, or taken for a lost path, at a VM that sees no server.
test('what a VM that reaches servers says of a failure holds at one that reaches none', async (t) => {
  const { answers, clock, failAt, paths, reachedIds } = createPathsFixture({
    a: [],
    b: ['i-2', 'i-3'],
  });
  reachedIds.clear();
  await failAt('i-1');
  t.is(await paths.findFailureCause('i-1'), 'server');
  answers.set('a', IDS);
  t.is(await paths.findFailureCause('i-1'), 'path');
  answers.clear();
  const found = paths.findFailureCause('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.is(await found, 'unknown');
});

test('requests return to the direct path once servers answer, and nothing runs afterwards', async (t) => {
  const { clock, failAt, paths, reachedIds, readRelay } = createPathsFixture({ a: IDS });
  reachedIds.clear();
  await failAt('i-1');
  IDS.forEach((id) => reachedIds.add(id));
  await clock.advanceAsync(ROUND_MS);
  t.deepEqual(IDS.map(readRelay), [null, null, null]);
  t.is(paths.countRelays(), 0);
  t.is(clock.countTimers(), 0);
});

test('a relay that leaves a request unanswered and then a question is replaced', async (t) => {
  const { answers, clock, failAt, paths, reachedIds, readRelay } = createPathsFixture({
    a: IDS,
    b: IDS,
  });
  reachedIds.clear();
  await failAt('i-1');
  answers.set('a', null);
  paths.recordRelaySilence('a');
  t.is(readRelay('i-1'), 'b');
  await clock.advanceAsync(CHECK_MS);
  t.is(paths.countRelays(), 1);
});

test('after the loss of its last relay a VM looks for another one at once', async (t) => {
  const { answers, clock, failAt, paths, reachedIds, readRelay } = createPathsFixture({ a: IDS });
  reachedIds.clear();
  await failAt('i-1');
  answers.set('b', IDS);
  paths.recordRelayLoss('a');
  await clock.advanceAsync(CHECK_MS);
  t.is(readRelay('i-1'), 'b');
});

test('a silent server is not probed while others of its service answer', async (t) => {
  const { clock, countProbes, paths } = createPathsFixture({ a: IDS });
  paths.recordAnswer('i-2', { isNewConnection: false });
  paths.recordFailure('i-1', 'silent');
  await clock.advanceAsync(ROUND_MS);
  t.is(countProbes(), 0);
});

test('calls that time out on sound links cause at most one check a second', async (t) => {
  const { clock, countProbes, countQuestions, paths } = createPathsFixture({ a: IDS });
  for (let index = 0; index < 100; index += 1) {
    paths.recordFailure('i-1', 'silent');
    await clock.advanceAsync(100);
  }
  // A check probes the server and two controls; the first ones come at shorter intervals.
  t.true(countProbes() <= 3 * 13, `${countProbes()}`);
  t.is(countQuestions(), 0);
});

test('while no VM reaches a server, probes and questions become rare', async (t) => {
  const { clock, countProbes, countQuestions, failAt, reachedIds } = createPathsFixture({
    a: ['i-2', 'i-3'],
  });
  reachedIds.delete('i-1');
  await failAt('i-1');
  await clock.advanceAsync(3600);
  const [probes, questions] = [countProbes(), countQuestions()];
  await clock.advanceAsync(20_000);
  t.true(countProbes() - probes <= 7 && countQuestions() - questions <= 7);
});

// Guards against a VM that finds no relay for seconds, as questions had become rare for a server
// that is down.
test('a VM that loses its links while a server is down soon asks again', async (t) => {
  const { answers, clock, failAt, reachedIds, readRelay } = createPathsFixture({ a: [] });
  reachedIds.delete('i-1');
  await failAt('i-1');
  await clock.advanceAsync(8000);
  reachedIds.clear();
  await failAt('i-2');
  answers.set('a', ['i-2', 'i-3']);
  await clock.advanceAsync(ROUND_MS);
  t.is(readRelay('i-2'), 'a');
});

test('servers that answered a check count as reached, also if none is left to compare with', async (t) => {
  const { clock, paths, readRelay, reachedIds } = createPathsFixture({ a: IDS });
  reachedIds.delete('i-1');
  IDS.forEach((id) => paths.recordFailure(id, 'not-connected'));
  await clock.advanceAsync(CHECK_MS);
  t.deepEqual(IDS.map(readRelay), ['a', null, null]);
});

test('a VM that reaches servers asks three others about one that it does not reach', async (t) => {
  const peers = Object.fromEntries(['a', 'b', 'c', 'd', 'e'].map((vm) => [vm, []]));
  const { countQuestions, failAt, reachedIds } = createPathsFixture(peers);
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.is(countQuestions(), 3);
});
