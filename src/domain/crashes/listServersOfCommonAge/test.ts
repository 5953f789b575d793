import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { listCrashedServers } from '../listCrashedServers';
import { listServersOfCommonAge } from '.';

/** Builds a server that crashed, by the ages of its runs with the part, and of those without it. */
const buildServer = (server: string, agesMs: readonly number[], othersMs: readonly number[]) => {
  const buildCrash = (ranMs: number, part: string) =>
    buildRunOutcome({ server, ranMs, parts: [part], requestId: `${part}-${ranMs}` });
  return listCrashedServers([
    ...agesMs.map((ageMs) => buildCrash(ageMs, 'part-a')),
    ...othersMs.map((ageMs) => buildCrash(ageMs, 'part-b')),
  ]);
};

const list = (servers: ReturnType<typeof listCrashedServers>): readonly string[] =>
  listServersOfCommonAge(servers, 'part-a').map(({ server }) => server);

// Guards against late crashes of a part that runs on all servers, of which its presence shows nothing.
test('servers that crashed at one age of a run are listed if runs without the part are seldom so old', (t) => {
  const servers = [2500, 2520, 2480, 2510, 2470, 2530].flatMap((ageMs, index) =>
    buildServer(`i-${index}`, [ageMs, 300 * index], [200 + 100 * index, 900 + 250 * index]),
  );
  const all = ['i-0', 'i-1', 'i-2', 'i-3', 'i-4', 'i-5'];
  t.deepEqual(list(servers), all);
  t.deepEqual(list([...servers, ...buildServer('i-6', [800], [100])]), all);
});

test('no server is listed if the ages differ, if all runs were as old, or if there are few servers', (t) => {
  const differing = [200, 700, 1200, 1700, 2300].flatMap((ageMs, index) =>
    buildServer(`i-${index}`, [ageMs], [150 * index, 400 + 300 * index]),
  );
  t.deepEqual(list(differing), []);
  const equal = [0, 1, 2, 3, 4].flatMap((index) => buildServer(`i-${index}`, [900], [910, 890]));
  t.deepEqual(list(equal), []);
  t.deepEqual(list(buildServer('i-0', [2500], [100, 200])), []);
  t.deepEqual(list([]), []);
});
