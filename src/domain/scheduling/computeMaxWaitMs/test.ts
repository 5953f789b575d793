import test from 'ava';
import { computeMaxWaitMs } from '.';

const STREAM = { prefillMs: 1000, runMs: 6000, slots: 12 };

test('a stream waits for as long as it can then run beside all runs of now but one', (t) => {
  // 24 s left: 7 runs take 12 s, 6 take 11 s, which may be half of the 22 s left then.
  t.is(computeMaxWaitMs({ ...STREAM, leftMs: 24_000 }), 2000);
});

test('few slots leave time to wait', (t) => {
  t.is(computeMaxWaitMs({ ...STREAM, slots: 3, leftMs: 24_000 }), 10_000);
});

test('a stream without time to be repeated waits while it can end', (t) => {
  t.is(computeMaxWaitMs({ ...STREAM, leftMs: 8000 }), 2000);
});
