import test from 'ava';
import { rankLimitOwners } from '.';

const buildVms = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    availabilityZone: `z${index % 3}`,
  }));

test('VMs that know the same others rank them alike, in whatever order they know them', (t) => {
  const vms = buildVms(20);
  t.deepEqual(rankLimitOwners(vms, 'i-1'), rankLimitOwners([...vms].reverse(), 'i-1'));
});

test('the second owner is in another availability zone than the first', (t) => {
  const servers = Array.from({ length: 50 }, (_, index) => `i-${index}`);
  servers.forEach((server) => {
    const [first, second] = rankLimitOwners(buildVms(20), server);
    t.not(first?.availabilityZone, second?.availabilityZone);
  });
});

test('one that leaves moves only the servers that it kept', (t) => {
  const vms = buildVms(20);
  const [first, ...others] = rankLimitOwners(vms, 'i-1');
  const left = rankLimitOwners(
    vms.filter((one) => one !== first),
    'i-1',
  );
  t.true(others.slice(0, 3).every((one) => left.includes(one)));
});

test('a VM that knows no other keeps all limits itself', (t) => {
  t.is(rankLimitOwners(buildVms(1), 'i-1').length, 1);
  t.deepEqual(rankLimitOwners([], 'i-1'), []);
});
