import test from 'ava';
import type { ServerStatus } from '../types';
import { buildServerStatus } from '../../../../standins/fakes';
import { chooseLeastLoadedServer } from '.';

const NONE = {
  excludedIds: new Set<string>(),
  avoidedZone: null,
  preferredZone: null,
  draw: 0,
};

const choose = (servers: readonly ServerStatus[], change: Partial<typeof NONE> = {}) =>
  chooseLeastLoadedServer(servers, { ...NONE, ...change })?.entry.id ?? null;

test('the least loaded server is chosen; the random number decides between nearly equal ones', (t) => {
  const servers = [
    buildServerStatus('a', 'z1', { running: 3 }),
    buildServerStatus('b', 'z1'),
    buildServerStatus('c', 'z2'),
  ];
  t.is(choose(servers), 'b');
  t.is(choose(servers, { draw: 0.9 }), 'c');
});

test('suspected servers and those of the avoided zone are chosen only without others', (t) => {
  const servers = [
    buildServerStatus('a', 'z1', { isSuspected: true }),
    buildServerStatus('b', 'z2'),
    buildServerStatus('c', 'z3'),
  ];
  t.is(choose(servers, { avoidedZone: 'z2' as never }), 'c');
  t.is(choose([buildServerStatus('a', 'z1', { isSuspected: true })]), 'a');
});

test('a server that failed the request is not chosen again for it', (t) => {
  t.is(choose([buildServerStatus('a', 'z1')], { excludedIds: new Set(['a']) }), null);
});

test('pending prefill and KV cache copies count as load', (t) => {
  const prefilling = buildServerStatus('a', 'z1', { pendingPrefillTokens: 8000 });
  const holdingCopies = buildServerStatus('b', 'z1', { copies: 4 });
  t.is(choose([prefilling, holdingCopies, buildServerStatus('c', 'z1')], { draw: 0.99 }), 'c');
});
