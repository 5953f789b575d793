import test from 'ava';
import { chooseOwners } from '.';

const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5', 'vm-6'];

test('a VM that leaves moves only the servers that it polled', (t) => {
  const servers = Array.from({ length: 60 }, (_, index) => `review-${index}`);
  const remaining = VMS.slice(1);
  servers.forEach((server) => {
    const before = chooseOwners(VMS, server, 2);
    t.is(before.length, 2);
    if (!before.includes('vm-1')) t.deepEqual(chooseOwners(remaining, server, 2), before);
  });
});

test('the order of the members does not matter, and fewer members than owners are allowed', (t) => {
  t.deepEqual(chooseOwners([...VMS].reverse(), 'a', 2), chooseOwners(VMS, 'a', 2));
  t.deepEqual(chooseOwners(['vm-1'], 'a', 2), ['vm-1']);
  t.deepEqual(chooseOwners([], 'a', 2), []);
});
