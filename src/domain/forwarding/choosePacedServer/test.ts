import test from 'ava';
import fc from 'fast-check';
import { buildServerStatus } from '../../../../standins/fakes';
import type { FleetReader, ServerStatus } from '../types';
import { choosePacedServer } from '.';

const AS_USUAL = { ratio: 1, workFactor: 1, slowness: 1 };

const NONE = {
  excludedIds: new Set<string>(),
  avoidedZone: null,
  preferredZone: null as string | null,
  draw: 0,
  readPace: (_: { readonly id: string }) => AS_USUAL,
  fleet: null as FleetReader | null,
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

const buildFleet = (others: Record<string, number>, change: Partial<FleetReader> = {}) => ({
  ageMs: 0,
  countOthers: ({ id }: { readonly id: string }) => others[id] ?? 0,
  readCrossingCost: () => null,
  ...change,
});

const countShare = (
  servers: readonly ServerStatus[],
  id: string,
  change: Parameters<typeof choose>[1],
): number => {
  const draws = Array.from({ length: 1000 }, (_, index) => index / 1000);
  return draws.filter((draw) => choose(servers, { ...change, draw }) === id).length / draws.length;
};

/** The choice without a view, for servers of the same pace. */
const chooseByEarliestEnd = (servers: readonly ServerStatus[], draw: number): string | null => {
  const loads = servers.map(({ entry, reported, reportedAgeMs, running }) => {
    const others = Math.max(0, reported - running) * Math.max(0, 1 - reportedAgeMs / 600);
    return running + others - (entry.availabilityZone === 'z1' ? 0.4 : 0);
  });
  const known = loads.filter((_, index) => (servers[index]?.availableMs ?? 0) >= 1000);
  const usual = known.reduce((sum, load) => sum + load, 0) / Math.max(1, known.length);
  const ends = servers.map(({ availableMs, entry }, index) => {
    const unknown = usual * Math.max(0, 1 - availableMs / 1000);
    return { id: entry.id, end: Math.max(loads[index] ?? 0, unknown) + 1 };
  });
  const limit = Math.min(...ends.map(({ end }) => end)) * 1.1;
  const earliest = ends.filter(({ end }) => end <= limit);
  return earliest[Math.floor(draw * earliest.length)]?.id ?? null;
};

test('without a view the choice is the earlier one, for any servers', (t) => {
  const status = fc.record({
    zone: fc.constantFrom('z1', 'z2'),
    running: fc.nat(9),
    reported: fc.nat(20),
    reportedAgeMs: fc.nat(1000),
    availableMs: fc.nat(2000),
  });
  const fraction = fc.double({ min: 0, max: 0.999, noNaN: true });
  fc.assert(
    fc.property(fc.array(status), fraction, (statuses, draw) => {
      const servers = statuses.map(({ zone, ...change }, index) =>
        buildServerStatus(String(index), zone, change),
      );
      const options = { preferredZone: 'z1', draw };
      t.is(choose(servers, { ...options, fleet: null }), choose(servers, options));
      t.is(choose(servers, options), chooseByEarliestEnd(servers, draw));
    }),
  );
});

// Guards against VMs that each see little of the load, and fill up a server that others use.
test('a server at which other VMs run requests gets fewer, the older the view the less so', (t) => {
  const servers = ['a', 'b'].map((id) => buildServerStatus(id, 'z1'));
  const read = (ageMs: number) =>
    countShare(servers, 'a', { fleet: buildFleet({ a: 4, b: 1 }, { ageMs }) });
  t.true(read(0) < 0.2);
  t.true(read(1500) > 0.25);
  t.is(read(2000), 0.5);
});

// Guards against requests of other VMs that count twice: in the answer of a server and in the view.
test('a fresh answer of a server outweighs the view', (t) => {
  const told = { reported: 2, reportedAgeMs: 0 };
  const servers = [buildServerStatus('a', 'z1', told), buildServerStatus('b', 'z1', told)];
  t.is(countShare(servers, 'a', { fleet: buildFleet({ a: 9 }) }), 0.5);
});

test('the own zone is preferred by what crossing costs, and less than a lower load', (t) => {
  const servers = [buildServerStatus('a', 'z1'), buildServerStatus('b', 'z2')];
  const read = (others: number, cost: number | null) =>
    countShare(servers, 'a', {
      preferredZone: 'z1',
      fleet: buildFleet({ a: others }, { readCrossingCost: () => cost }),
    });
  t.is(read(0, 0), 0.5);
  t.true(read(0, 0.2) > 0.55);
  t.true(read(0, null) > 0.6);
  t.true(read(2, 0.2) < 0.2);
});
