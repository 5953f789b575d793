import test from 'ava';
import { computeTrialAllowance } from '.';

const options = {
  bounds: { trialRatio: 0.1, trialExtra: 50 },
  requests: 0,
  share: 1 / 85,
  ageMs: 12_000,
  durationMs: 12_000,
  draw: 0,
};

test('all VMs together stay within half of the bounds without coordination', (t) => {
  const totals = [1, 9, 85, 340].map((vms) =>
    Array.from({ length: vms }, (_, index) =>
      computeTrialAllowance({
        ...options,
        share: 1 / vms,
        requests: 24,
        draw: (index + 0.5) / vms,
      }),
    ).reduce((sum, one) => sum + one, 0),
  );
  [1, 9, 85, 340].forEach((vms, at) => t.true((totals[at] ?? Infinity) <= 0.05 * 24 * vms + 25));
});

test('the extra requests are spread over the first part of the time', (t) => {
  const small = { ...options, share: 1 / 9, draw: 0.5 };
  t.is(computeTrialAllowance({ ...small, ageMs: 0 }), 0);
  t.is(computeTrialAllowance({ ...small, ageMs: 6000 }), 2);
});

test('a VM without a share of the bounds sends no extra requests', (t) => {
  t.is(computeTrialAllowance({ ...options, share: 0, draw: 0.9 }), 0);
});
