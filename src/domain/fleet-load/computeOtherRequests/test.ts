import test from 'ava';
import type { LoadPart } from '../types';
import { computeOtherRequests } from '.';

const build = (requests: Record<string, number>): LoadPart => ({
  vm: 'vm-1',
  incarnation: 1,
  sequence: 1,
  availabilityZone: 'z1',
  vms: 1,
  ageMs: 0,
  roundTripMs: null,
  omittedServers: 0,
  services: [
    { service: 's', arrivalsPerS: 1, requestsByServer: new Map(Object.entries(requests)) },
  ],
});

test('the requests of other VMs are those of all zones without the own ones', (t) => {
  const zones = [build({ i: 3, j: 1 }), build({ i: 2 })];
  const expected = new Map(Object.entries({ i: 4, j: 0, k: 0 }));
  t.deepEqual(computeOtherRequests(zones, build({ i: 1, j: 2, k: 1 }), 's'), expected);
  t.deepEqual(computeOtherRequests(zones, build({}), 'other'), new Map());
});
