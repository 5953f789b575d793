import test from 'ava';
import fc from 'fast-check';
import type { ServerStatus } from '../types';
import { buildServerStatus } from '../../../../standins/fakes';
import { rankServersByPrompt } from '.';

const SERVERS = Array.from({ length: 12 }, (_, index) =>
  buildServerStatus(`i-${index}`, `z${index % 3}`),
);

const listIds = (servers: readonly ServerStatus[], key: string): string[] =>
  rankServersByPrompt(servers, key, 4).map(({ entry }) => entry.id);

test('the rank of the servers does not depend on their order', (t) => {
  t.deepEqual(listIds(SERVERS, 'p'), listIds([...SERVERS].reverse(), 'p'));
});

test('half of the servers are in another availability zone than the first', (t) => {
  const ranked = rankServersByPrompt(SERVERS, 'p', 4);
  const zone = ranked[0]?.entry.availabilityZone;
  t.true(ranked.slice(2).every(({ entry }) => entry.availabilityZone !== zone));
});

test('the loss of a server changes the rank of few prompts', (t) => {
  const keys = Array.from({ length: 100 }, (_, index) => `p${index}`);
  const moved = keys.filter(
    (key) => listIds(SERVERS, key)[0] !== listIds(SERVERS.slice(1), key)[0],
  );
  t.true(moved.length < 30);
});

test('suspected servers are ranked only if there are no others', (t) => {
  t.deepEqual(
    listIds(
      [buildServerStatus('a', 'z1', { isSuspected: true }), buildServerStatus('b', 'z2')],
      'p',
    ),
    ['b'],
  );
  t.deepEqual(listIds([buildServerStatus('a', 'z1', { isSuspected: true })], 'p'), ['a']);
});

test('with servers of one speed, the rank is the one without speeds', (t) => {
  fc.assert(
    fc.property(fc.string(), fc.integer({ min: 1, max: 12 }), (key, count) => {
      t.deepEqual(
        rankServersByPrompt(SERVERS, key, count, () => 1),
        rankServersByPrompt(SERVERS, key, count),
      );
    }),
  );
});

test('servers are first by rank in proportion to their speed', (t) => {
  const readSpeed = ({ id }: { readonly id: string }): number => (id === 'i-0' ? 3 : 1);
  const first = Array.from(
    { length: 4000 },
    (_, index) => rankServersByPrompt(SERVERS, `p${index}`, 1, readSpeed)[0]?.entry.id,
  );
  const share = first.filter((id) => id === 'i-0').length / first.length;
  t.true(Math.abs(share - 3 / 14) < 0.03);
});
