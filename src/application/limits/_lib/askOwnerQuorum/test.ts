import test from 'ava';
import type { PermitDecision } from '../../../../domain/limits';
import type { LimitOwnerVm } from '../../types';
import { askOwnerQuorum } from '.';

const GRANTED: PermitDecision = { isGranted: true, waitMs: 0 };
const REFUSED: PermitDecision = { isGranted: false, waitMs: 70 };

const VMS: readonly LimitOwnerVm[] = ['a', 'b', 'c', 'd'].map((vm, index) => ({
  vm,
  availabilityZone: `z${index % 2}`,
  address: vm,
}));

/** Asks owners that answer one after the other as given; null is silence. */
const ask = async (
  answers: readonly (PermitDecision | null)[],
  { silent = [], vms = VMS }: { silent?: readonly string[]; vms?: readonly LimitOwnerVm[] } = {},
) => {
  const asked: string[] = [];
  const confirmations: boolean[] = [];
  const released: string[] = [];
  const decision = await askOwnerQuorum({
    server: 'i-1',
    vms,
    silentOwners: { has: (vm) => silent.includes(vm) },
    askOwner: async ({ vm }, { isConfirmation }) => {
      asked.push(vm);
      confirmations.push(isConfirmation);
      return answers[asked.length - 1] ?? null;
    },
    releaseGrants: (owners) => released.push(...owners.map(({ vm }) => vm)),
  });
  return { asked, confirmations, decision, released };
};

test('two owners grant a request, the second one as a confirmation', async (t) => {
  const { asked, confirmations, decision, released } = await ask([GRANTED, GRANTED]);
  t.deepEqual(confirmations, [false, true]);
  t.is(decision.kind, 'granted');
  t.deepEqual(decision.kind === 'granted' ? decision.owners.map(({ vm }) => vm) : [], asked);
  t.deepEqual(released, []);
});

test('an owner that refuses ends the question, and the grant before it is taken back', async (t) => {
  const { asked, decision, released } = await ask([GRANTED, REFUSED]);
  t.deepEqual(decision, { kind: 'refused', waitMs: 70 });
  t.deepEqual(released, asked.slice(0, 1));
});

test('owners that do not respond are passed over; too few leave nothing granted', async (t) => {
  const passed = await ask([null, GRANTED, GRANTED]);
  t.is(passed.decision.kind, 'granted');
  const { asked, decision, released } = await ask([null, GRANTED, null, null]);
  t.deepEqual(decision, { kind: 'too-few' });
  t.deepEqual(released, asked.slice(1, 2));
});

test('a VM that is alone needs only itself, and silent VMs are not asked', async (t) => {
  const alone = await ask([GRANTED], { vms: VMS.slice(0, 1) });
  t.is(alone.decision.kind, 'granted');
  const { asked } = await ask([GRANTED, GRANTED], { silent: ['a', 'b'] });
  t.deepEqual([...asked].sort(), ['c', 'd']);
});
