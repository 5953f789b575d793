import test from 'ava';
import { buildServerStatus, createFakeClock, QUIET_LOG } from '../../../../standins/fakes';
import type { RunOutcome } from '../../../domain/crashes';
import { createCrashProbe, type CrashProbeDependencies } from '.';

const PROBE_MS = 400;

type Servers = CrashProbeDependencies['servers'];

const { entry: SERVER } = buildServerStatus('i-1', 'z1');

const setUp = (change: Partial<Servers> = {}) => {
  const clock = createFakeClock();
  const outcomes: RunOutcome[] = [];
  const aliveIds: string[] = [];
  let probes = 0;
  const crashProbe = createCrashProbe({
    clock,
    log: QUIET_LOG,
    crashes: { recordOutcome: (outcome) => outcomes.push(outcome) },
    servers: {
      findServer: () => SERVER,
      findFailureCause: async () => 'server',
      isCutFrom: () => false,
      hasAnsweredSince: () => false,
      recordAlive: (id) => aliveIds.push(id),
      ...change,
      probeIdentity: async (server) => {
        probes += 1;
        return change.probeIdentity?.(server) ?? 'gone';
      },
    },
  });
  const buildRun = (fingerprint = 'f') => ({
    fingerprint,
    requestId: 'r',
    ranMs: 40,
    atMs: clock.readMonotonicMs(),
  });
  return { aliveIds, buildRun, clock, countProbes: () => probes, crashProbe, outcomes };
};

/** Probes a server whose connection ended; resolves with what was recorded of it. */
const probe = async (change: Partial<Servers>): Promise<'alive' | 'crashed' | 'unconfirmed'> => {
  const { buildRun, clock, crashProbe, outcomes } = setUp(change);
  crashProbe.startProbe(SERVER, [buildRun()], { isSilent: false });
  await clock.advanceAsync(PROBE_MS);
  if (outcomes.length === 0) return 'alive';
  return outcomes[0]?.isConfirmed ? 'crashed' : 'unconfirmed';
};

test('a server that accepts no connection has crashed, unless the path to it is the cause', async (t) => {
  t.is(await probe({}), 'crashed');
  t.is(await probe({ findFailureCause: async () => 'path' }), 'alive');
});

test('a server has crashed if another one has its address', async (t) => {
  const findFailureCause = async () => 'unknown' as const;
  t.is(await probe({ findFailureCause, probeIdentity: async () => 'replaced' }), 'crashed');
});

test('a server that answers, or that is busy, has not crashed', async (t) => {
  const { aliveIds, buildRun, clock, crashProbe } = setUp({ probeIdentity: async () => 'alive' });
  crashProbe.startProbe(SERVER, [buildRun()], { isSilent: false });
  await clock.advanceAsync(PROBE_MS);
  t.deepEqual(aliveIds, ['i-1']);
  t.is(await probe({ probeIdentity: async () => 'alive' }), 'alive');
  t.is(await probe({ probeIdentity: async () => 'silent' }), 'alive');
});

// Guards against a crash that is forgotten as its VM can't prove it alone: a request went on to
// crash three more servers.
test('a crash that no VM can tell from a lost path stays unconfirmed', async (t) => {
  t.is(await probe({ findFailureCause: async () => 'unknown' }), 'unconfirmed');
});

test('a server that breaks new connections may have too many of them, unless this VM is cut off', async (t) => {
  const probeIdentity = async () => 'broken' as const;
  t.is(await probe({ probeIdentity }), 'unconfirmed');
  t.is(await probe({ probeIdentity, isCutFrom: () => true }), 'crashed');
});

test('a server that answers this VM meanwhile is not probed', async (t) => {
  const { buildRun, clock, countProbes, crashProbe, outcomes } = setUp({
    hasAnsweredSince: () => true,
  });
  crashProbe.startProbe(SERVER, [buildRun()], { isSilent: false });
  crashProbe.startProbe(SERVER, [buildRun()], { isSilent: true });
  await clock.advanceAsync(PROBE_MS);
  t.deepEqual([countProbes(), outcomes], [0, []]);
});

test('runs that end on one server are judged by one probe, silent ones at once', async (t) => {
  const { buildRun, clock, countProbes, crashProbe, outcomes } = setUp();
  ['f', 'g'].forEach((fingerprint) =>
    crashProbe.startProbe(SERVER, [buildRun(fingerprint)], { isSilent: false }),
  );
  await clock.advanceAsync(PROBE_MS);
  t.is(countProbes(), 1);
  t.deepEqual(
    outcomes.map(({ fingerprint }) => fingerprint),
    ['f', 'g'],
  );
  crashProbe.startProbe(SERVER, [buildRun('h')], { isSilent: true });
  await clock.advanceAsync(0);
  t.is(outcomes.at(-1)?.fingerprint, 'h');
  t.is(countProbes(), 1);
});

test('crashes told by others are probed once nobody has confirmed them for a while', async (t) => {
  const { buildRun, clock, countProbes, crashProbe, outcomes } = setUp();
  const told = { ...buildRun(), server: 'i-1', hasCrashed: true, isConfirmed: false };
  crashProbe.startRecheck([told]);
  t.is(countProbes(), 0);
  await clock.advanceAsync(1000);
  crashProbe.startRecheck([told]);
  crashProbe.startRecheck([told]);
  await clock.advanceAsync(0);
  t.is(countProbes(), 1);
  t.like(outcomes[0], { server: 'i-1', isConfirmed: true, atMs: told.atMs });
});
