import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { listCrashedServers } from '.';

const crash = (server: string, ranMs: number, ...parts: readonly string[]) =>
  buildRunOutcome({ server, ranMs, parts, requestId: `${ranMs}` });

test('the requests that a server ran, their parts, and those of the one that began last are told', (t) => {
  const crashes = [
    crash('i-1', 900, 'part-a'),
    crash('i-2', 10, 'part-a'),
    crash('i-1', 60, 'part-b', 'part-a'),
    buildRunOutcome({ server: 'i-1', fingerprint: 'part-a', ranMs: 1 }),
  ];
  t.deepEqual(listCrashedServers(crashes), [
    {
      server: 'i-1',
      crashedAtMs: 0,
      runs: 2,
      parts: new Map([
        ['part-a', 2],
        ['part-b', 1],
      ]),
      lostMs: 960,
      lostMsByPart: new Map([
        ['part-a', 960],
        ['part-b', 60],
      ]),
      newestParts: new Set(['part-b', 'part-a']),
      agesMs: [900, 60],
      agesMsByPart: new Map([
        ['part-a', [900, 60]],
        ['part-b', [60]],
      ]),
    },
    {
      server: 'i-2',
      crashedAtMs: 0,
      runs: 1,
      parts: new Map([['part-a', 1]]),
      lostMs: 10,
      lostMsByPart: new Map([['part-a', 10]]),
      newestParts: new Set(['part-a']),
      agesMs: [10],
      agesMsByPart: new Map([['part-a', [10]]]),
    },
  ]);
});

test('a run that had gone on for long counts with its age', (t) => {
  const late = { ...crash('i-1', 4000, 'part-a'), isLate: true };
  t.like(listCrashedServers([late, crash('i-1', 200, 'part-b')])[0], {
    runs: 2,
    lostMs: 4200,
    agesMs: [4000, 200],
    agesMsByPart: new Map([
      ['part-a', [4000]],
      ['part-b', [200]],
    ]),
    newestParts: new Set(['part-b']),
  });
});

test('a run whose parts are not known counts', (t) => {
  const { parts, ...old } = crash('i-1', 60);
  t.deepEqual(listCrashedServers([old]), [
    {
      server: 'i-1',
      crashedAtMs: 0,
      runs: 1,
      parts: new Map(),
      lostMs: 60,
      lostMsByPart: new Map(),
      newestParts: new Set(),
      agesMs: [60],
      agesMsByPart: new Map(),
    },
  ]);
});
