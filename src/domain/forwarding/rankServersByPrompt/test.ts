import test from 'ava';
import type { ServerStatus } from '../types';
import { buildServerStatus } from '../../../../standins/fakes';
import { rankServersByPrompt } from '.';

const SERVERS = Array.from({ length: 12 }, (_, index) =>
  buildServerStatus(`i-${index}`, `z${index % 3}`),
);

const listIds = (servers: readonly ServerStatus[], key: string): string[] =>
  rankServersByPrompt(servers, key, 4).map(({ entry }) => entry.id);

test('every VM finds the same servers for a prompt, in whatever order it knows them', (t) => {
  t.deepEqual(listIds(SERVERS, 'p'), listIds([...SERVERS].reverse(), 'p'));
});

test('half of the servers are of another zone than the first', (t) => {
  const ranked = rankServersByPrompt(SERVERS, 'p', 4);
  const zone = ranked[0]?.entry.availabilityZone;
  t.true(ranked.slice(2).every(({ entry }) => entry.availabilityZone !== zone));
});

test('a server that comes or goes changes few prompts', (t) => {
  const keys = Array.from({ length: 100 }, (_, index) => `p${index}`);
  const moved = keys.filter(
    (key) => listIds(SERVERS, key)[0] !== listIds(SERVERS.slice(1), key)[0],
  );
  t.true(moved.length < 30);
});

test('suspected servers are ranked only where there are no others', (t) => {
  t.deepEqual(
    listIds(
      [buildServerStatus('a', 'z1', { isSuspected: true }), buildServerStatus('b', 'z2')],
      'p',
    ),
    ['b'],
  );
  t.deepEqual(listIds([buildServerStatus('a', 'z1', { isSuspected: true })], 'p'), ['a']);
});
