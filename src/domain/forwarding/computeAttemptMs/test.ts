import test from 'ava';
import fc from 'fast-check';
import { computeAttemptMs } from '.';

test('an attempt may take a multiple of the goal, and leaves time for another one', (t) => {
  t.is(computeAttemptMs({ leftMs: 1000, latencyGoalMs: 100, slowness: 1 }), 150);
  t.is(computeAttemptMs({ leftMs: 1000, latencyGoalMs: 10, slowness: 1 }), 120);
  t.is(computeAttemptMs({ leftMs: 200, latencyGoalMs: 100, slowness: 1 }), 120);
});

test('a slow server gets more time, a fast one no less than one as usual', (t) => {
  t.is(computeAttemptMs({ leftMs: 1000, latencyGoalMs: 100, slowness: 2.5 }), 375);
  const durationMs = fc.integer({ min: 1, max: 20_000 });
  const slownesses = fc.double({ min: 0.01, max: 10, noNaN: true });
  fc.assert(
    fc.property(durationMs, durationMs, slownesses, (leftMs, latencyGoalMs, slowness) => {
      const options = { leftMs, latencyGoalMs };
      const usualMs = computeAttemptMs({ ...options, slowness: 1 });
      t.true(computeAttemptMs({ ...options, slowness }) >= usualMs);
    }),
  );
});
