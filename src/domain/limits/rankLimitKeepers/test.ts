import test from 'ava';
import { rankLimitKeepers } from '.';

const buildVms = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    availabilityZone: `z${index % 3}`,
  }));

test('VMs that know the same others rank them alike, in whatever order they know them', (t) => {
  const vms = buildVms(20);
  t.deepEqual(rankLimitKeepers(vms, 'i-1'), rankLimitKeepers([...vms].reverse(), 'i-1'));
});

test('the second keeper is in another availability zone than the first', (t) => {
  const servers = Array.from({ length: 50 }, (_, index) => `i-${index}`);
  servers.forEach((server) => {
    const [first, second] = rankLimitKeepers(buildVms(20), server);
    t.not(first?.availabilityZone, second?.availabilityZone);
  });
});

test('one that leaves moves only the servers that it kept', (t) => {
  const vms = buildVms(20);
  const [first, ...others] = rankLimitKeepers(vms, 'i-1');
  const left = rankLimitKeepers(
    vms.filter((one) => one !== first),
    'i-1',
  );
  t.true(others.slice(0, 3).every((one) => left.includes(one)));
});

test('a VM that knows no other keeps all limits itself', (t) => {
  t.is(rankLimitKeepers(buildVms(1), 'i-1').length, 1);
  t.deepEqual(rankLimitKeepers([], 'i-1'), []);
});
