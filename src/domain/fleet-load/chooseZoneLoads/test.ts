import test from 'ava';
import type { HeldPart } from '../types';
import { chooseZoneLoads } from '.';

const hold = (vm: string, availabilityZone: string, vms: number, ageMs = 0): HeldPart => ({
  receivedAtMs: 0,
  part: {
    vm,
    availabilityZone,
    vms,
    ageMs,
    incarnation: 1,
    sequence: 1,
    roundTripMs: null,
    omittedServers: 0,
    services: [],
  },
});

const choose = (held: readonly HeldPart[], nowMs = 100) =>
  chooseZoneLoads(held, nowMs).map(({ part }) => part.vm);

// Guards against requests that count twice while two VMs collect for one zone.
test('of two sums of one zone, the one of more VMs counts', (t) => {
  t.deepEqual(choose([hold('a', 'z1', 1), hold('b', 'z1', 9), hold('c', 'z2', 1)]), ['b', 'c']);
});

test('a sum that is older than 2 s, or of no VM, does not count', (t) => {
  t.deepEqual(choose([hold('a', 'z1', 9, 700), hold('b', 'z1', 1), hold('c', 'z2', 0)], 1500), [
    'b',
  ]);
});
