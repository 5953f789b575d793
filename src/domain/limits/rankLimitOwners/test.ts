import test from 'ava';
import { rankLimitOwners } from '.';

const buildVms = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    availabilityZone: `z${index % 3}`,
  }));

test('the rank of the owners does not depend on the order of the candidates', (t) => {
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

test('the loss of the first owner keeps the next ones in the rank', (t) => {
  const vms = buildVms(20);
  const [first, ...others] = rankLimitOwners(vms, 'i-1');
  const remaining = rankLimitOwners(
    vms.filter((one) => one !== first),
    'i-1',
  );
  t.true(others.slice(0, 3).every((one) => remaining.includes(one)));
});

test('a single VM owns all limits', (t) => {
  t.is(rankLimitOwners(buildVms(1), 'i-1').length, 1);
  t.deepEqual(rankLimitOwners([], 'i-1'), []);
});
