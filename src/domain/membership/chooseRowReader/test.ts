import test from 'ava';
import { chooseRowReader, type RowReaderCandidate } from '.';

const buildVm = (vm: string, availabilityZone = 'z1', cores = 0.3): RowReaderCandidate => ({
  vm,
  availabilityZone,
  cores,
});

const VMS = Array.from({ length: 30 }, (_, index) => buildVm(`vm-${index}`));

const without = (vm: string): RowReaderCandidate[] => VMS.filter((other) => other.vm !== vm);

test('all VMs of a zone choose the same one', (t) => {
  const chosen = new Set(VMS.map((self) => chooseRowReader(self, without(self.vm)).vm));
  t.is(chosen.size, 1);
});

test('a larger VM is preferred, regardless of the order of the list', (t) => {
  const large = buildVm('vm-large', 'z1', 1.35);
  t.is(chooseRowReader(VMS[0] as RowReaderCandidate, [...without('vm-0'), large]), large);
  t.is(chooseRowReader(large, VMS), large);
});

test('VMs of other zones are not chosen', (t) => {
  const self = buildVm('a');
  t.is(chooseRowReader(self, [buildVm('b', 'z2', 2)]), self);
  t.is(chooseRowReader(self, []), self);
});

test('when the chosen VM is gone, all VMs choose the same successor', (t) => {
  const first = chooseRowReader(VMS[0] as RowReaderCandidate, without('vm-0')).vm;
  const remaining = without(first);
  const next = remaining.map(
    (self) =>
      chooseRowReader(
        self,
        remaining.filter((vm) => vm !== self),
      ).vm,
  );
  t.is(new Set(next).size, 1);
  t.not(next[0], first);
});
