import test from 'ava';
import { computeTokenBucketLevel } from '.';

test('an unused limit allows one burst, and at least one request', (t) => {
  t.is(computeTokenBucketLevel({ sentAtMs: [], limitPerS: 10, nowMs: 9000 }), 4);
  t.is(computeTokenBucketLevel({ sentAtMs: [], limitPerS: 0.5, nowMs: 9000 }), 1);
});

test('each request takes one token, and tokens refill at the rate of the limit', (t) => {
  const sentAtMs = [9000];
  t.is(computeTokenBucketLevel({ sentAtMs, limitPerS: 2, nowMs: 9000 }), 0);
  t.is(computeTokenBucketLevel({ sentAtMs, limitPerS: 2, nowMs: 9250 }), 0.5);
  t.is(computeTokenBucketLevel({ sentAtMs, limitPerS: 2, nowMs: 12_000 }), 1);
});

test('requests beyond the limit give a negative level until they leave the window', (t) => {
  const sentAtMs = Array.from({ length: 60 }, (_, index) => 4000 + index);
  t.true(computeTokenBucketLevel({ sentAtMs, limitPerS: 4, nowMs: 7900 }) < -40);
  t.is(computeTokenBucketLevel({ sentAtMs, limitPerS: 4, nowMs: 8100 }), 1.6);
});
