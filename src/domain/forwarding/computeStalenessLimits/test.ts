import test from 'ava';
import { computeStalenessLimits } from '.';

test('knowledge grows stale early enough to make good what was missed', (t) => {
  t.deepEqual(computeStalenessLimits({ changeMs: 4000 }), { freshMs: 1250, staleMs: 2500 });
  t.deepEqual(computeStalenessLimits({ changeMs: 3000 }), { freshMs: 750, staleMs: 1500 });
});

test('where a change is due soon, every VM follows the store itself', (t) => {
  t.is(computeStalenessLimits({ changeMs: 2000 }), null);
  t.is(computeStalenessLimits({ changeMs: 0 }), null);
});
