import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { findResponsibleParts } from '.';

const buildCrashes = (fingerprint: string, ...servers: readonly number[]) =>
  servers.map((server) =>
    buildRunOutcome({
      fingerprint,
      requestId: `r-${server}`,
      server: `i-${server}`,
      atMs: 1000 * server,
    }),
  );

const buildSuspects = (
  servers: Readonly<Record<string, readonly number[]>>,
  ...unanswered: readonly string[]
) => ({
  crashesByPart: new Map(
    Object.entries(servers).map(([part, ids]) => [part, buildCrashes(part, ...ids)]),
  ),
  unanswered: new Set(unanswered),
  judgedByShare: new Set<string>(),
});

test('a part that alone was answered on three crashed servers is responsible', (t) => {
  const found = findResponsibleParts(['a', 'bad'], buildSuspects({ bad: [1, 2, 3] }));
  t.deepEqual(found, { fingerprints: ['bad'], crashes: 3, lastCrashAtMs: 3000 });
  t.is(findResponsibleParts(['a', 'b'], buildSuspects({ bad: [1, 2, 3] })), null);
});

test('of two parts that were always seen together, each alone is sent', (t) => {
  const suspects = buildSuspects({ a: [1, 2, 3], bad: [1, 2, 3] });
  t.deepEqual(findResponsibleParts(['a', 'bad'], suspects)?.fingerprints, ['a', 'bad']);
  t.is(findResponsibleParts(['a', 'b'], suspects), null);
  t.is(findResponsibleParts(['b', 'bad'], suspects), null);
});

test('a common part is sent although a server crashed by itself under it', (t) => {
  const suspects = buildSuspects({ a: [1, 2, 3, 4], bad: [1, 2, 3] });
  t.is(findResponsibleParts(['a', 'b'], suspects), null);
  t.truthy(findResponsibleParts(['a', 'bad'], suspects));
});

test('a common part that crashes servers with ever other parts is responsible', (t) => {
  const suspects = buildSuspects({ a: [1, 2, 3, 4, 5, 6], b: [1, 2, 3] });
  t.deepEqual(findResponsibleParts(['a', 'c'], suspects), {
    fingerprints: ['a'],
    crashes: 3,
    lastCrashAtMs: 6000,
  });
});

test('two bad parts that share a common one are refused, and the common one is not', (t) => {
  const suspects = buildSuspects({ a: [1, 2, 3, 4, 5, 6], b: [1, 2, 3], c: [4, 5, 6] });
  t.truthy(findResponsibleParts(['a', 'b'], suspects));
  t.truthy(findResponsibleParts(['a', 'c'], suspects));
  t.is(findResponsibleParts(['a', 'd'], suspects), null);
});

// Guards against bad parts that run side by side, so that each looks like the cause of the other's.
test('a part that was never answered is responsible after five crashes, whatever ran beside it', (t) => {
  const servers = { b: [1, 2, 3, 4, 5], c: [1, 2, 3, 4, 5, 6] };
  const found = findResponsibleParts(['a', 'b'], buildSuspects(servers, 'b', 'c'));
  t.deepEqual(found, { fingerprints: ['b'], crashes: 3, lastCrashAtMs: 5000 });
  t.is(findResponsibleParts(['a', 'b'], buildSuspects(servers, 'c')), null);
  const few = buildSuspects({ ...servers, b: [1, 2, 3, 4] }, 'b', 'c');
  t.is(findResponsibleParts(['a', 'b'], few), null);
});

// Guards against a bad part that is sent as sound ones which ran beside it are suspected, too.
test('a part that was judged by its share of crashes is responsible, whatever ran beside it', (t) => {
  const suspects = buildSuspects({ b: [1, 2, 3], c: [1, 2, 3, 4] });
  t.is(findResponsibleParts(['b'], suspects), null);
  const judged = { ...suspects, judgedByShare: new Set(['b']) };
  t.deepEqual(findResponsibleParts(['b'], judged)?.fingerprints, ['b']);
  t.is(findResponsibleParts(['c'], judged), null);
});

test('crashes that other parts may explain do not delay the trial of a part', (t) => {
  const servers = { b: [1, 2, 3, 4, 5, 7], c: [1, 2, 3, 4, 5, 6] };
  t.is(findResponsibleParts(['b'], buildSuspects(servers, 'b', 'c'))?.crashes, 4);
  t.is(findResponsibleParts(['b'], buildSuspects({ b: servers.b }, 'b'))?.crashes, 6);
});

test('without suspects nothing is found', (t) => {
  t.is(findResponsibleParts(['a'], buildSuspects({})), null);
});
