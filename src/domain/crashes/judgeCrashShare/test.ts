import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import type { CrashShareEvidence } from '../types';
import { judgeCrashShare } from '.';

const NONE: ReadonlySet<string> = new Set();

/** Builds one crashed server for each list of parts; those of the run that began last come first. */
const buildServers = (count: number, parts: readonly string[], first = 0) =>
  Array.from({ length: count }, (_, index) => ({
    server: `i-${first + index}`,
    crashedAtMs: 1000 * (first + index),
    parts: new Map(parts.map((part) => [part, 1])),
    runs: Math.max(2, parts.length),
    lostMs: 100 * Math.max(2, parts.length),
    lostMsByPart: new Map(parts.map((part) => [part, 100])),
    newestParts: new Set(parts.slice(0, 1)),
    agesMs: Array<number>(Math.max(2, parts.length)).fill(100),
    agesMsByPart: new Map(parts.map((part) => [part, [100]])),
  }));

const judge = (
  fingerprint: string,
  answers: number,
  servers: CrashShareEvidence['servers'],
  change: Partial<CrashShareEvidence> = {},
): boolean => {
  const own = servers.filter(({ parts }) => parts.has(fingerprint));
  return judgeCrashShare({
    suspect: { fingerprint, servers: own.length, answers },
    crashes: own.map(({ server }, index) =>
      buildRunOutcome({ fingerprint, server, requestId: `r-${index}`, atMs: index * 1000 }),
    ),
    others: [],
    servers,
    otherAnswers: 200,
    runMs: 100 * answers,
    otherRunMs: 100 * (change.otherAnswers ?? 200),
    held: NONE,
    ...change,
  }).isResponsible;
};

test('a part that crashes servers in some of its runs is responsible if other runs crash hardly any', (t) => {
  t.true(judge('bad', 6, buildServers(6, ['bad'])));
  t.true(judge('bad', 30, [...buildServers(6, ['bad']), ...buildServers(1, ['a'], 6)]));
  t.false(judge('bad', 6, buildServers(2, ['bad'])));
  t.false(judge('bad', 200, buildServers(6, ['bad'])));
});

// Guards against sound parts that are held responsible as they ran beside bad ones.
test('a part is not accused by servers that ran a more suspicious one', (t) => {
  const servers = [...buildServers(5, ['bad', 'a']), ...buildServers(3, ['bad'], 5)];
  t.true(judge('a', 5, servers));
  const bad = { fingerprint: 'bad', servers: 8, answers: 4 };
  t.false(judge('a', 5, servers, { others: [bad] }));
  t.true(judge('a', 5, servers, { others: [{ ...bad, answers: 100 }] }));
  t.false(judge('a', 5, servers, { others: [{ ...bad, answers: 100 }], held: new Set(['bad']) }));
});

// Guards against bad parts that are never found, as sound ones lose many of their runs beside them.
test('a part is accused by servers on which it began last, whatever else they ran', (t) => {
  const servers = [
    ...buildServers(7, ['bad', 'common']),
    ...buildServers(3, ['worse', 'common'], 7),
  ];
  const others = [{ fingerprint: 'common', servers: 10, answers: 9 }];
  t.true(judge('bad', 7, servers, { others }));
  const older = servers.map((one) => ({ ...one, newestParts: NONE }));
  t.false(judge('bad', 7, older, { others, held: new Set(['common']) }));
});

// Guards against a bad part of much of the traffic, which ran on nearly all servers in any case.
test('a common part whose runs had one age when servers crashed is responsible', (t) => {
  const servers = buildServers(9, ['c', 'd', 'e', 'bad']);
  const young = servers.map((one) => ({
    ...one,
    agesMs: [400, 600, 800, 10],
    agesMsByPart: new Map([['bad', [10]]]),
  }));
  t.false(judge('bad', 9, servers, { otherAnswers: 30 }));
  t.true(judge('bad', 9, young, { otherAnswers: 30 }));
  const allYoung = young.map((one) => ({ ...one, agesMs: [10, 10, 10, 10] }));
  t.false(judge('bad', 9, allYoung, { otherAnswers: 30 }));
});

test('a sound part is not accused beside one that is held responsible for fewer crashes', (t) => {
  const mixed = [...buildServers(5, ['bad', 'a']), ...buildServers(2, ['c', 'a'], 5)];
  const buildOthers = (answers: number) => [{ fingerprint: 'bad', servers: 5, answers }];
  t.true(judge('a', 9, mixed, { others: buildOthers(14) }));
  t.false(judge('a', 9, mixed, { others: buildOthers(14), held: new Set(['bad']) }));
  t.false(judge('a', 9, mixed, { others: buildOthers(2) }));
  t.false(judge('a', 9, mixed, { others: buildOthers(2), held: new Set(['bad']) }));
});

// Guards against sound parts of long runs that are held responsible as most servers run one of them.
test('a part of long runs is expected on as many crashed servers as its share of the time', (t) => {
  const servers = buildServers(6, ['c', 'long']);
  t.true(judge('long', 6, servers, { runMs: 600, otherRunMs: 20_000 }));
  t.false(judge('long', 6, servers, { runMs: 12_000, otherRunMs: 20_000 }));
});

test('a sound part that began last on some servers of a bad one is not responsible', (t) => {
  const isLast = [...buildServers(5, ['a', 'bad']), ...buildServers(7, ['c', 'bad'], 5)];
  const others = [{ fingerprint: 'bad', servers: 12, answers: 0 }];
  t.false(judge('a', 7, isLast, { others, held: new Set(['bad']), otherAnswers: 40 }));
});

// Guards against sound parts that are held responsible as they began last on many servers of a bad one.
test('a part that began last is not accused where one ran that is held responsible for a larger share', (t) => {
  const servers = [...buildServers(7, ['a', 'bad']), ...buildServers(3, ['bad', 'c'], 7)];
  const isHeld = { held: new Set(['bad']) };
  const buildOthers = (answers: number) => [{ fingerprint: 'bad', servers: 10, answers }];
  t.false(judge('a', 4, servers, { others: buildOthers(0), ...isHeld }));
  t.true(judge('a', 4, servers, { others: buildOthers(20), ...isHeld }));
});

// Guards against bad parts that hide behind common ones, which run on more of the servers that crash.
test('a part is accused where a common one ran that has crashed a smaller share of its runs', (t) => {
  const servers = [
    ...buildServers(8, ['c', 'bad', 'common']),
    ...buildServers(6, ['d', 'common'], 8),
  ].map((one) => ({ ...one, newestParts: NONE }));
  const buildOthers = (answers: number) => [{ fingerprint: 'common', servers: 14, answers }];
  const times = { runMs: 900, otherRunMs: 20_000 };
  t.true(judge('bad', 3, servers, { others: buildOthers(16), ...times }));
  t.false(judge('bad', 3, servers, { others: buildOthers(0), ...times }));
});

test('a part with which servers have answered needs more crashes than one that was never answered', (t) => {
  t.true(judge('bad', 0, buildServers(4, ['bad'])));
  t.false(judge('bad', 1, buildServers(4, ['bad'])));
  t.true(judge('bad', 1, buildServers(5, ['bad'])));
});

test('parts that are always together do not clear each other', (t) => {
  const servers = buildServers(6, ['bad', 'twin']);
  t.true(judge('bad', 6, servers, { others: [{ fingerprint: 'twin', servers: 6, answers: 6 }] }));
});

// Guards against two bad parts of which each is taken for the chance by which the other's servers crash.
test('two bad parts are both responsible', (t) => {
  const servers = [...buildServers(7, ['bad']), ...buildServers(7, ['worse'], 7)];
  const others = [{ fingerprint: 'worse', servers: 7, answers: 7 }];
  t.true(judge('bad', 7, servers, { others, otherAnswers: 100 }));
});

// Guards against sound parts that are held responsible for servers that crash by themselves.
test('a common part is not responsible for servers that crash by themselves', (t) => {
  const servers = buildServers(8, ['newest', 'common', 'c', 'd']);
  t.false(judge('common', 90, servers, { otherAnswers: 110 }));
});

test('a rare part is not responsible for a few of the servers that crash by themselves', (t) => {
  const servers = [...buildServers(4, ['c', 'rare']), ...buildServers(4, ['c', 'd'], 4)];
  const others = [{ fingerprint: 'd', servers: 4, answers: 1 }];
  t.false(judge('rare', 4, servers, { others, otherAnswers: 150 }));
});

test('a part that is held responsible stays so until its share is near that of others', (t) => {
  const servers = [...buildServers(6, ['bad']), ...buildServers(5, ['a'], 6)];
  t.false(judge('bad', 14, servers));
  const isHeld = { held: new Set(['bad']) };
  t.true(judge('bad', 14, servers, isHeld));
  t.false(judge('bad', 100, servers, isHeld));
});

// Guards against verdicts that one loss of a zone ends.
test('a part stays responsible if servers without it crash together, and not if one after the other', (t) => {
  const zone = buildServers(8, ['a', 'c', 'd'], 6);
  const isHeld = { held: new Set(['bad']), otherAnswers: 80 };
  const bad = buildServers(6, ['bad']);
  const together = zone.map((one) => ({ ...one, crashedAtMs: 9000 }));
  t.true(judge('bad', 14, [...bad, ...together], isHeld));
  t.false(judge('bad', 14, [...bad, ...zone], isHeld));
});
