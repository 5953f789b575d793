import test from 'ava';
import { createFakeClock, createSeededRandomness, QUIET_LOG } from '../../../../standins/fakes';
import type { ServerEntry } from '../../../domain/forwarding';
import { createRelayRegistry } from '../createRelayRegistry';
import { createServerReach } from '../createServerReach';
import { createServerPaths } from '.';

/** Longer than a check and the questions that follow it. */
const CHECK_MS = 20;

/** Longer than the time until a VM probes its servers again. */
const ROUND_MS = 1000;

const IDS = ['i-1', 'i-2', 'i-3'];

const buildEntry = (id: string): ServerEntry => ({
  id,
  service: 's',
  address: `${id}:1`,
  availabilityZone: 'z1',
  slots: 8,
  isLeaving: false,
  warmupLeftMs: 0,
  version: '',
  sequence: 1,
  bornMs: null,
});

/** Paths of one VM whose links the test cuts, and of peers that each reach some servers. */
const setUp = (peers: Readonly<Record<string, readonly string[] | null>>) => {
  const clock = createFakeClock();
  const randomness = createSeededRandomness(7);
  const reachedIds = new Set(IDS);
  const answers = new Map(Object.entries(peers));
  const relayedIds: string[] = [];
  let probes = 0;
  let questions = 0;
  const common = { clock, randomness, log: QUIET_LOG };
  const reach = createServerReach({
    ...common,
    listServers: () => IDS.map(buildEntry),
    probeServer: async ({ id }) => {
      probes += 1;
      return reachedIds.has(id);
    },
  });
  const relays = createRelayRegistry({
    ...common,
    self: { vm: 'self', availabilityZone: 'z1' },
    listPeers: () =>
      [...answers.keys()].map((vm) => ({ vm, address: vm, availabilityZone: 'z2', cores: 1 })),
    askPeer: async (address, { ids }) => {
      questions += 1;
      const reached = answers.get(address) ?? null;
      if (reached === null) return null;
      const reachesAny = reached.length > 0;
      return { reachedIds: ids.filter((id) => reached.includes(id)), reachesAny, running: 0 };
    },
  });
  const paths = createServerPaths({
    ...common,
    reach,
    relays,
    handleRelayed: (id) => relayedIds.push(id),
  });
  return {
    answers,
    clock,
    paths,
    reachedIds,
    relayedIds,
    countProbes: () => probes,
    countQuestions: () => questions,
    readRelay: (id: string): string | null => {
      const path = paths.choosePath(id);
      return path.kind === 'relay' ? path.vm : null;
    },
    failAt: async (id: string) => {
      paths.recordFailure(id, 'not-connected');
      await clock.advanceAsync(CHECK_MS);
    },
  };
};

test('a VM that reaches no server sends through a VM that does', async (t) => {
  const { failAt, readRelay, reachedIds, relayedIds } = setUp({ a: [], b: IDS });
  reachedIds.clear();
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), ['b', 'b', 'b']);
  t.deepEqual([...relayedIds].sort(), IDS);
});

test('a VM that has lost one of its links sends only that traffic through another VM', async (t) => {
  const { failAt, readRelay, reachedIds } = setUp({ a: IDS });
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), ['a', null, null]);
});

test('a server that no VM reaches is tried directly, and is at fault', async (t) => {
  const { failAt, paths, readRelay, reachedIds } = setUp({ a: ['i-2', 'i-3'] });
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.deepEqual(IDS.map(readRelay), [null, null, null]);
  t.true(await paths.judgeFailure('i-1'));
  t.is(await paths.findFailureCause('i-1'), 'server');
});

test('a VM is cut off from a server only if it reaches no other, or another VM reaches this one', async (t) => {
  const down = setUp({ a: ['i-2', 'i-3'] });
  t.false(down.paths.isCutFrom('i-1'));
  down.reachedIds.delete('i-1');
  await down.failAt('i-1');
  t.false(down.paths.isCutFrom('i-1'));
  const relayed = setUp({ a: IDS });
  relayed.reachedIds.delete('i-1');
  await relayed.failAt('i-1');
  t.true(relayed.paths.isCutFrom('i-1'));
  const alone = setUp({});
  alone.reachedIds.clear();
  await alone.failAt('i-1');
  t.true(alone.paths.isCutFrom('i-1'));
});

test('a failure proves nothing against a server at a VM that reaches none', async (t) => {
  const { clock, paths, reachedIds } = setUp({});
  reachedIds.clear();
  const judged = paths.judgeFailure('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.false(await judged);
  const found = paths.findFailureCause('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.is(await found, 'unknown');
});

test('a server that answers a probe is at fault for a failed request', async (t) => {
  const { clock, paths } = setUp({ a: IDS });
  const judged = paths.judgeFailure('i-1');
  await clock.advanceAsync(CHECK_MS);
  t.true(await judged);
});

// Guards against a crash that is forgotten, or taken for a lost path, at a VM that sees no server.
test('what a VM that reaches servers says of a failure holds at one that reaches none', async (t) => {
  const { answers, clock, failAt, paths, reachedIds } = setUp({ a: [], b: ['i-2', 'i-3'] });
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
  const { clock, failAt, paths, reachedIds, readRelay } = setUp({ a: IDS });
  reachedIds.clear();
  await failAt('i-1');
  IDS.forEach((id) => reachedIds.add(id));
  await clock.advanceAsync(ROUND_MS);
  t.deepEqual(IDS.map(readRelay), [null, null, null]);
  t.is(paths.countRelays(), 0);
  t.is(clock.countTimers(), 0);
});

test('a relay that leaves a request unanswered and then a question is replaced', async (t) => {
  const { answers, clock, failAt, paths, reachedIds, readRelay } = setUp({ a: IDS, b: IDS });
  reachedIds.clear();
  await failAt('i-1');
  answers.set('a', null);
  paths.recordRelaySilence('a');
  t.is(readRelay('i-1'), 'b');
  await clock.advanceAsync(CHECK_MS);
  t.is(paths.countRelays(), 1);
});

test('after the loss of its last relay a VM looks for another one at once', async (t) => {
  const { answers, clock, failAt, paths, reachedIds, readRelay } = setUp({ a: IDS });
  reachedIds.clear();
  await failAt('i-1');
  answers.set('b', IDS);
  paths.recordRelayLoss('a');
  await clock.advanceAsync(CHECK_MS);
  t.is(readRelay('i-1'), 'b');
});

test('a silent server is not probed while others of its service answer', async (t) => {
  const { clock, countProbes, paths } = setUp({ a: IDS });
  paths.recordAnswer('i-2', { isNewConnection: false });
  paths.recordFailure('i-1', 'silent');
  await clock.advanceAsync(ROUND_MS);
  t.is(countProbes(), 0);
});

test('calls that time out on sound links cause at most one check a second', async (t) => {
  const { clock, countProbes, countQuestions, paths } = setUp({ a: IDS });
  for (let index = 0; index < 100; index += 1) {
    paths.recordFailure('i-1', 'silent');
    await clock.advanceAsync(100);
  }
  // A check probes the server and two controls; the first ones come at shorter intervals.
  t.true(countProbes() <= 3 * 13, `${countProbes()}`);
  t.is(countQuestions(), 0);
});

test('while no VM reaches a server, probes and questions become rare', async (t) => {
  const { clock, countProbes, countQuestions, failAt, reachedIds } = setUp({ a: ['i-2', 'i-3'] });
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
  const { answers, clock, failAt, reachedIds, readRelay } = setUp({ a: [] });
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
  const { clock, paths, readRelay, reachedIds } = setUp({ a: IDS });
  reachedIds.delete('i-1');
  IDS.forEach((id) => paths.recordFailure(id, 'not-connected'));
  await clock.advanceAsync(CHECK_MS);
  t.deepEqual(IDS.map(readRelay), ['a', null, null]);
});

test('a VM that reaches servers asks three others about one that it does not reach', async (t) => {
  const peers = Object.fromEntries(['a', 'b', 'c', 'd', 'e'].map((vm) => [vm, []]));
  const { countQuestions, failAt, reachedIds } = setUp(peers);
  reachedIds.delete('i-1');
  await failAt('i-1');
  t.is(countQuestions(), 3);
});
