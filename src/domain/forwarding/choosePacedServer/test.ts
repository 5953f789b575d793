import test from 'ava';
import { buildServerStatus } from '../../../../standins/fakes';
import type { ServerStatus } from '../types';
import { choosePacedServer } from '.';

const AS_USUAL = { ratio: 1, workFactor: 1, slowness: 1 };

const NONE = {
  excludedIds: new Set<string>(),
  avoidedZone: null,
  preferredZone: null,
  draw: 0,
  readPace: (_: { readonly id: string }) => AS_USUAL,
};

const choose = (servers: readonly ServerStatus[], change: Partial<typeof NONE> = {}) =>
  choosePacedServer(servers, { ...NONE, ...change })?.entry.id ?? null;

test('the random number decides between servers whose expected ends differ by a tenth', (t) => {
  const servers = ['a', 'b', 'c'].map((id) => buildServerStatus(id, 'z1'));
  const slowness = new Map([['a', 1], ['b', 1.08], ['c', 1.5]]); // prettier-ignore
  const readPace = ({ id }: { readonly id: string }) => ({
    ...AS_USUAL,
    workFactor: slowness.get(id) ?? 1,
  });
  t.is(choose(servers, { readPace, draw: 0.1 }), 'a');
  t.is(choose(servers, { readPace, draw: 0.99 }), 'b');
});

test('suspected and excluded servers are treated as in the choice by load', (t) => {
  const suspected = buildServerStatus('a', 'z1', { isSuspected: true });
  t.is(choose([suspected, buildServerStatus('b', 'z1', { running: 5 })]), 'b');
  t.is(choose([suspected]), 'a');
  t.is(choose([suspected], { excludedIds: new Set(['a']) }), null);
});

// Guards against a server that gets no request, and so no newer report, after it was busy once.
test('a reported load counts less the older it is', (t) => {
  const busy = { reported: 8, reportedAgeMs: 100 };
  const other = buildServerStatus('b', 'z1', { running: 1 });
  t.is(choose([buildServerStatus('a', 'z1', busy), other]), 'b');
  t.is(choose([buildServerStatus('a', 'z1', { ...busy, reportedAgeMs: 600 }), other]), 'a');
});

// Guards against a server that joins and gets the requests of all VMs at once, as it looks empty.
test('a server that joined counts as loaded like the others, less so with every moment', (t) => {
  const others = ['a', 'b'].map((id) => buildServerStatus(id, 'z1', { running: 4 }));
  const join = (availableMs: number) => [...others, buildServerStatus('c', 'z1', { availableMs })];
  const draws = [0.1, 0.5, 0.9];
  t.deepEqual(
    draws.map((draw) => choose(join(0), { draw })),
    ['a', 'b', 'c'],
  );
  t.is(choose(join(500), { draw: 0.1 }), 'c');
});

test('a VM that has known no server for long gives them all the same start', (t) => {
  const servers = [
    buildServerStatus('a', 'z1', { running: 2, availableMs: 0 }),
    buildServerStatus('b', 'z1', { availableMs: 0 }),
  ];
  t.is(choose(servers), 'b');
});
