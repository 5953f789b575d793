import test from 'ava';
import { rankSchedulers } from '.';

const buildVms = (cores: readonly (number | null)[]) =>
  cores.map((one, index) => ({ vm: `vm-${index}`, availabilityZone: `z${index % 3}`, cores: one }));

test('VMs with the same candidates agree, whatever the order in which they know them', (t) => {
  const vms = buildVms([1, 1, 1, 1, 1, 1, 1, 1, 1, 1]);
  const ranked = rankSchedulers(vms, 's');
  t.deepEqual(rankSchedulers([...vms].reverse(), 's'), ranked);
  t.is(ranked.length, 8);
  t.not(ranked[0]?.availabilityZone, ranked[1]?.availabilityZone);
});

test('VMs with half of the largest processor share or more come before all others', (t) => {
  const ranked = rankSchedulers(buildVms([0.3, 1.3, null, 0.7, 0.2]), 's');
  t.deepEqual(
    ranked
      .slice(0, 2)
      .map(({ vm }) => vm)
      .sort(),
    ['vm-1', 'vm-3'],
  );
  t.is(ranked.length, 5);
});

test('unknown processor shares exclude nobody', (t) => {
  t.is(rankSchedulers(buildVms([null, null]), 's').length, 2);
  t.deepEqual(rankSchedulers([], 's'), []);
});
