import test from 'ava';
import { computeStalenessLimits } from '.';

test('the limits leave enough time to fetch missed changes', (t) => {
  t.deepEqual(computeStalenessLimits({ changeMs: 4000 }), { freshMs: 1250, staleMs: 2500 });
  t.deepEqual(computeStalenessLimits({ changeMs: 3000 }), { freshMs: 750, staleMs: 1500 });
});

test('there are no limits if changes must be in force too soon to rely on other VMs', (t) => {
  t.is(computeStalenessLimits({ changeMs: 2000 }), null);
  t.is(computeStalenessLimits({ changeMs: 0 }), null);
});
