import test from 'ava';
import { buildLoadPart } from '../../../../standins/fakes';
import { chooseZoneLoads } from '.';

// Guards against requests that count twice while two VMs collect for one zone.
test('of the sums of one zone, that of most VMs counts, unless it is older than 2 s', (t) => {
  const sums = [
    { vm: 'a', vms: 9, ageMs: 700 },
    { vm: 'b', vms: 1 },
    { vm: 'c', vms: 2, availabilityZone: 'z2' },
    { vm: 'd', vms: 0, availabilityZone: 'z3' },
  ].map((change) => ({ part: buildLoadPart({}, change), receivedAtMs: 0 }));
  const choose = (nowMs: number) => chooseZoneLoads(sums, nowMs).map(({ part }) => part.vm);
  t.deepEqual(choose(100), ['a', 'c']);
  t.deepEqual(choose(1500), ['b', 'c']);
});
