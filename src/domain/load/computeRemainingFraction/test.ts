import test from 'ava';
import { computeRemainingFraction } from '.';

test('what is new counts in full, what is old not at all', (t) => {
  t.deepEqual(
    [-1, 0, 300, 600, 700, Infinity].map((ageMs) => computeRemainingFraction(ageMs, 600)),
    [1, 1, 0.5, 0, 0, 0],
  );
});
