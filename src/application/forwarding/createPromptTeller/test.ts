import test from 'ava';
import { createPromptTeller } from '.';

const tell = (vms: number): readonly string[] => {
  const told: string[] = [];
  const peers = Array.from({ length: vms - 1 }, (_, index) => `vm-${index}`);
  createPromptTeller({
    countVms: () => vms,
    drawPeers: (count) => peers.slice(0, count),
    tellPeer: (address, { server, tokens }) => told.push(`${address} ${server} ${tokens}`),
  })('i-1', 8200);
  return told;
};

test('all other VMs of a small fleet are told', (t) => {
  t.deepEqual(tell(3), ['vm-0 i-1 8200', 'vm-1 i-1 8200']);
  t.is(tell(9).length, 8);
});

test('in a large fleet nobody is told', (t) => {
  t.deepEqual(tell(60), []);
});

test('a VM that is alone tells nobody', (t) => {
  t.deepEqual(tell(1), []);
});
