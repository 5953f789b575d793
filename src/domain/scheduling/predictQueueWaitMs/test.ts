import test from 'ava';
import { predictQueueWaitMs } from '.';

const BASE = { ahead: 9, aheadInClass: 4, startsPerS: 20, overtakingPerS: 0, hasShare: false };

test('demands ahead and more urgent arrivals take starts', (t) => {
  t.is(predictQueueWaitMs(BASE), 500);
  t.is(predictQueueWaitMs({ ...BASE, overtakingPerS: 10 }), 1000);
});

test('while more urgent classes do not fit, a class keeps a fifth of the starts for its own demands', (t) => {
  t.is(predictQueueWaitMs({ ...BASE, overtakingPerS: 30, hasShare: true }), 1250);
  t.is(predictQueueWaitMs({ ...BASE, overtakingPerS: 30 }), Infinity);
  t.is(predictQueueWaitMs({ ...BASE, startsPerS: 0, hasShare: true }), Infinity);
});
