import test from 'ava';
import { computeRetryAfterMs } from '.';

const NONE = { waitMs: 0, outageMs: 0, leftMs: 24_000, draw: 0.5 };

test('the delay is the longer of the predicted wait and the outage', (t) => {
  t.is(computeRetryAfterMs({ ...NONE, waitMs: 3000, outageMs: 1000 }), 3000);
  t.is(computeRetryAfterMs({ ...NONE, waitMs: 1000, outageMs: 2000 }), 2000);
  t.is(computeRetryAfterMs(NONE), 200);
});

test('the delay is at most a third of the time until the deadline', (t) => {
  t.is(computeRetryAfterMs({ ...NONE, waitMs: 20_000 }), 8000);
  t.is(computeRetryAfterMs({ ...NONE, outageMs: 3000, leftMs: 600 }), 200);
});

test('the random number spreads the delay by 10% up and down', (t) => {
  t.is(computeRetryAfterMs({ ...NONE, waitMs: 1000, draw: 0 }), 900);
  t.is(computeRetryAfterMs({ ...NONE, waitMs: 1000, draw: 1 }), 1100);
});
