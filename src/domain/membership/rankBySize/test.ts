import test from 'ava';
import { rankBySize } from '.';

const buildVms = (cores: readonly (number | null)[]) =>
  cores.map((share, index) => ({ vm: `vm-${index}`, cores: share }));

const listNames = (vms: readonly { readonly vm: string }[]) => vms.map(({ vm }) => vm).sort();

test('VMs with half of the largest processor share or more are large', (t) => {
  const { large, small } = rankBySize(buildVms([0.6, 1.2, null, 0.59]), 'task');
  t.deepEqual(listNames(large), ['vm-0', 'vm-1']);
  t.deepEqual(listNames(small), ['vm-2', 'vm-3']);
});

test('all VMs are large while no processor share is known', (t) => {
  t.is(rankBySize(buildVms([null, 0]), 'task').large.length, 2);
  t.deepEqual(rankBySize([], 'task'), { large: [], small: [] });
});

test('the rank depends on the key and not on the order of the candidates', (t) => {
  const vms = buildVms(Array.from({ length: 20 }, () => 1));
  t.deepEqual(rankBySize([...vms].reverse(), 'task'), rankBySize(vms, 'task'));
  t.notDeepEqual(rankBySize(vms, 'other task'), rankBySize(vms, 'task'));
});
