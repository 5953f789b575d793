import test from 'ava';
import { computeFairness } from '.';

test('is 1 if only the largest workspace gets less than it offers, and lower otherwise', (t) => {
  const fair = [
    { offered: 100, served: 50 },
    { offered: 10, served: 10 },
    { offered: 10, served: 10 },
  ];
  t.true(computeFairness(fair) > 0.999);
  const unfair = [
    { offered: 100, served: 68 },
    { offered: 10, served: 1 },
    { offered: 10, served: 1 },
  ];
  t.true(computeFairness(unfair) < 0.6);
  t.is(computeFairness([]), 1);
});
