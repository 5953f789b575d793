import test from 'ava';
import { rankCollectors } from '.';

const VMS = Array.from({ length: 20 }, (_, index) => ({
  vm: `vm-${index}`,
  availabilityZone: `z${index % 2}`,
  cores: index < 10 ? 0.3 : 2,
}));

test('VMs of the zone are ranked alike in any order, large ones first', (t) => {
  const ranked = rankCollectors(VMS, 'z1');
  t.deepEqual(rankCollectors([...VMS].reverse(), 'z1'), ranked);
  t.is(ranked.length, 10);
  t.true(ranked.slice(0, 5).every(({ availabilityZone, cores }) => availabilityZone === 'z1' && cores === 2)); // prettier-ignore
  t.deepEqual(rankCollectors(VMS.slice(0, 1), 'z1'), []);
});

test('the end of the first collector makes the second one the first', (t) => {
  const [first, ...others] = rankCollectors(VMS, 'z0');
  t.deepEqual(rankCollectors(VMS.filter((one) => one !== first), 'z0'), others); // prettier-ignore
});
