import test from 'ava';
import fc from 'fast-check';
import { err } from 'neverthrow';
import { createStreamFixture, type StreamFixtureOptions } from '../../../../../standins/model';
import { createLatencyHistory } from '../../../_lib/createLatencyHistory';
import type { StreamRun } from '../../types';
import { checkStreamStart } from '../checkStreamStart';
import { chooseStreamPlacement } from '../chooseStreamPlacement';
import { createOverloadTracker } from '../createOverloadTracker';
import { forwardStream } from '.';

/** A fixture whose stream can be forwarded. */
const build = (options: StreamFixtureOptions = {}) => {
  const fixture = createStreamFixture(options);
  const { clock, context, dependencies } = fixture;
  const shared = { paces: createLatencyHistory(), overload: createOverloadTracker(clock) };
  shared.paces.recordPrefill(context.service, { firstTokenMs: 1000, promptCharacters: 8000 });
  return { ...fixture, shared, start: () => forwardStream(dependencies, context, shared) };
};

test('a granted stream runs at the granted server without any query', async (t) => {
  const { clock, grant, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(0);
  t.like(state.asked[0]?.readDemand(), { goalAtMs: 4000, isResumed: false, needsBackup: true });
  grant('i-4', 'i-2');
  t.is(await outcome, 'answered');
  t.deepEqual([state.sent, state.queried, state.started], [[['i-4', 'i-2:1']], [], []]);
  t.like(state.ended, [{ server: 'i-4', backup: 'i-2', kvTokens: 8800, ranMs: 1000 }]);
  t.deepEqual(state.ended[0]?.samples, [
    { kind: 'prefill', tokens: 8000, tookMs: 300 },
    { kind: 'decode', tokens: 800, tookMs: 450 },
  ]);
  t.deepEqual(state.paceKinds, ['prefill', 'decode']);
  const line = state.lines.find(({ message }) => message === 'stream sent');
  t.like(line, { scheduled: true, waitedMs: 40 });
});

test('a refusal of the scheduler is passed on with its time', async (t) => {
  const { clock, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(0);
  state.asked[0]?.resolve({ kind: 'refuse', reason: 'full', returnMs: 700 });
  t.is(await outcome, 'not-run');
  t.deepEqual(state.refusals, [{ kind: 'not-run', reason: 'full', retryAfterMs: 700 }]);
});

test('a stream that waits has the class of the configuration in force, until its grant', async (t) => {
  const { buildTable, clock, grant, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(600);
  Object.assign(state, { table: buildTable(['k'], 1) });
  const demand = state.asked[0]?.readDemand();
  t.deepEqual(demand?.requestClass, { priority: 1, routePriority: 1 });
  grant('i-1');
  t.is(await outcome, 'answered');
});

test('a grant is released if the caller leaves at the same moment', async (t) => {
  const { clock, grant, left, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(600);
  grant('i-1');
  left.abort();
  t.is(await outcome, 'left');
  await clock.advanceAsync(0);
  t.true(state.asked[0]?.signal.aborted);
  t.deepEqual([state.cancelled, state.sent, state.ended], [1, [], []]);
});

test('a stream whose deadline passes while it waits is refused and waits no longer', async (t) => {
  const { clock, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(25_000);
  t.is(await outcome, 'deadline-passed');
  t.true(state.asked[0]?.signal.aborted);
});

test('a stream whose key is revoked while it waits is refused as on arrival', async (t) => {
  const { buildTable, clock, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(0);
  Object.assign(state, { table: buildTable([]) });
  state.asked[0]?.readDemand();
  t.is(await outcome, 'unknown-key');
  t.like(state.refusals, [{ kind: 'unknown-key', retryAfterMs: 0 }]);
});

// Guards against sending a prompt to a server that this VM knows to be gone.
test('a grant of a server that is gone is returned, and asked for again without it', async (t) => {
  const { clock, grant, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(0);
  grant('gone');
  await clock.advanceAsync(0);
  t.is(state.cancelled, 1);
  t.deepEqual(state.asked[1]?.readDemand().excludedServers, ['gone']);
  grant('i-1', 'gone');
  t.is(await outcome, 'answered');
  t.deepEqual(state.sent, [['i-1', null]]);
});

// Guards against a lost stream that waits again behind new ones.
test('a stream that lost its server is asked for as resumed, without that server', async (t) => {
  const { clock, dependencies, grant, start, state } = build();
  const { sendAttempt } = dependencies.client;
  Object.assign(dependencies.client, {
    sendAttempt: async () => {
      Object.assign(dependencies.client, { sendAttempt });
      return err({ kind: 'broken', reason: 'reset', connection: 'reset', relay: null });
    },
  });
  const outcome = start();
  await clock.advanceAsync(0);
  grant('i-1');
  await clock.advanceAsync(1000);
  t.like(state.asked[1]?.readDemand(), { isResumed: true, excludedServers: ['i-1'] });
  t.like(state.ended, [{ server: 'i-1', samples: [] }]);
  grant('i-2');
  t.is(await outcome, 'answered');
});

test('without a scheduler the VM queries servers, and tells of the run', async (t) => {
  const { clock, start, state } = build();
  const outcome = start();
  await clock.advanceAsync(0);
  state.asked[0]?.resolve({ kind: 'unknown' });
  t.is(await outcome, 'answered');
  t.is(state.queried.length, 4);
  t.deepEqual(state.started, [state.sent[0]?.[0] ?? '']);
  t.is(state.ended.length, 1);
});

test('a service that is not scheduled is placed and admitted as before', async (t) => {
  const priorities = fc.oneof(
    fc.integer({ min: 0, max: 9 }).map((one) => ({ priorities: [one, one] as const })),
    fc.constant({ hasEngine: false }),
  );
  const workspacePriority = fc.option(fc.integer({ min: 0, max: 9 }));
  const waiting = fc.array(fc.nat(12), { minLength: 6, maxLength: 6 });
  const load = fc.record({ waiting, workspacePriority });
  await fc.assert(
    fc.asyncProperty(priorities, load, async (switchedOff, loaded) => {
      const options: StreamFixtureOptions = { ...switchedOff, ...loaded };
      const actual = build(options);
      await actual.start();
      // The functions that decide without a scheduler, called with an equal state.
      const { context, dependencies, shared, state } = build(options);
      const run = {
        dependencies,
        context,
        ...shared,
        copy: null,
        readState: () => ({ offset: 0 }),
      };
      const reference = run as unknown as StreamRun;
      const placement = await chooseStreamPlacement(reference, new Set());
      const refusal = placement && checkStreamStart(reference, placement);
      const { asked, ended, queried, refusals, sent, started } = actual.state;
      t.deepEqual([asked, started, ended], [[], [], []]);
      t.deepEqual(queried, state.queried);
      t.deepEqual(refusals, refusal ? [refusal] : []);
      const server = placement && [placement.server.id, placement.backup?.address ?? null];
      t.deepEqual(sent, refusal ? [] : [server]);
    }),
    { numRuns: 60 },
  );
});
