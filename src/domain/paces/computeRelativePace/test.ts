import test from 'ava';
import { computeRelativePace } from '.';

const USUAL = { prefillMsPerToken: 0.1, decodeMsPerToken: 20, callMs: 20, workFactor: 1 };

test('the pace relative to the service and the work factor multiply', (t) => {
  t.deepEqual(computeRelativePace({ ...USUAL, callMs: 40, workFactor: 2.5 }, USUAL, 'callMs'), {
    ratio: 2,
    workFactor: 2.5,
    slowness: 5,
  });
});

test('an unknown pace counts as usual', (t) => {
  t.is(computeRelativePace({ ...USUAL, callMs: 0 }, USUAL, 'callMs').slowness, 1);
  t.is(computeRelativePace(USUAL, { ...USUAL, callMs: 0 }, 'callMs').slowness, 1);
});
