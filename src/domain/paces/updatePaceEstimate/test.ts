import test from 'ava';
import { updatePaceEstimate } from '.';

const NONE = { value: 0, samples: 0 };

test('the first sample is the estimate; later low ones count more than high ones', (t) => {
  const first = updatePaceEstimate(NONE, 20);
  t.deepEqual(first, { value: 20, samples: 1 });
  const lower = updatePaceEstimate(first, 10).value;
  const higher = updatePaceEstimate(first, 30).value;
  t.true(20 - lower > higher - 20);
});

test('a sample that is not positive and finite is ignored', (t) => {
  [0, -1, NaN, Infinity].forEach((value) => t.is(updatePaceEstimate(NONE, value), NONE));
});
