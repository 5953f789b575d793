import test from 'ava';
import type { HeldPart } from '../types';
import { sumLoadParts } from '.';

const hold = (vm: string, receivedAtMs: number, requests: Record<string, number>): HeldPart => ({
  receivedAtMs,
  part: {
    vm,
    incarnation: 1,
    sequence: 1,
    availabilityZone: 'z1',
    vms: 1,
    ageMs: 0,
    roundTripMs: null,
    omittedServers: 1,
    services: [
      { service: 's', arrivalsPerS: 2, requestsByServer: new Map(Object.entries(requests)) },
    ],
  },
});

test('requests add up by server, and arrivals by service', (t) => {
  t.deepEqual(sumLoadParts([hold('a', 0, { i: 2, j: 1 }), hold('b', 100, { i: 3 })], 200), {
    vms: 2,
    ageMs: 150,
    omittedServers: 2,
    services: [
      { service: 's', arrivalsPerS: 4, requestsByServer: new Map([['i', 5], ['j', 1]]) }, // prettier-ignore
    ],
  });
});

// Guards against the requests of a VM that ended, which would count for ever.
test('a part that is older than 2 s counts no more', (t) => {
  t.is(sumLoadParts([hold('a', 0, { i: 2 }), hold('b', 100, { i: 3 })], 2050).vms, 1);
  t.deepEqual(sumLoadParts([hold('a', 0, { i: 2 })], 2050).services, []);
});
