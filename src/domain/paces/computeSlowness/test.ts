import test from 'ava';
import { computeSlowness } from '.';

const USUAL = { prefillMsPerToken: 0.1, decodeMsPerToken: 20, callMs: 20, workFactor: 1 };

test('the pace relative to the service and the work factor multiply', (t) => {
  t.is(computeSlowness({ ...USUAL, callMs: 40, workFactor: 2.5 }, USUAL, 'callMs'), 5);
});

test('an unknown pace counts as usual', (t) => {
  t.is(computeSlowness({ ...USUAL, callMs: 0 }, USUAL, 'callMs'), 1);
  t.is(computeSlowness(USUAL, { ...USUAL, callMs: 0 }, 'callMs'), 1);
});
