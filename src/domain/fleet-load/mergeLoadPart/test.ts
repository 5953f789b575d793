import test from 'ava';
import type { HeldPart, LoadPart } from '../types';
import { mergeLoadPart } from '.';

const PART: LoadPart = {
  vm: 'vm-1',
  incarnation: 1,
  sequence: 5,
  availabilityZone: 'z1',
  vms: 1,
  ageMs: 0,
  roundTripMs: null,
  omittedServers: 0,
  services: [],
};
const HELD: ReadonlyMap<string, HeldPart> = new Map([['vm-1', { part: PART, receivedAtMs: 0 }]]);

const merge = (change: Partial<LoadPart>, nowMs = 100) =>
  mergeLoadPart(HELD, { ...PART, ...change }, nowMs).get('vm-1');

test('a newer part of a VM replaces its older one, also after a restart', (t) => {
  t.is(merge({ sequence: 6 })?.part.sequence, 6);
  t.like(merge({ incarnation: 2, sequence: 1 }), { receivedAtMs: 100 });
});

// Guards against parts that count for longer than they are true, or that replace newer ones.
test('a part that is doubled, late or of an ended process is ignored', (t) => {
  t.is(merge({})?.receivedAtMs, 0);
  t.is(merge({ sequence: 4 })?.part.sequence, 5);
  t.is(merge({ incarnation: 0, sequence: 9 })?.part.sequence, 5);
});

// Guards against memory that grows with every VM there ever was.
test('the part of a VM that has ended is dropped after a while', (t) => {
  t.deepEqual([...mergeLoadPart(HELD, { ...PART, vm: 'vm-2' }, 11_000).keys()], ['vm-2']);
});
