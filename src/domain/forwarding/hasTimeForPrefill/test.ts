import test from 'ava';
import fc from 'fast-check';
import { hasTimeForPrefill } from '.';

test('there is no time if the prefill takes longer than the caller waits', (t) => {
  t.false(hasTimeForPrefill({ leftMs: 900, latencyGoalMs: 4500, prefillMs: 1000 }));
  t.true(hasTimeForPrefill({ leftMs: 1000, latencyGoalMs: 4500, prefillMs: 1000 }));
});

test('an unknown prefill time is taken to be a quarter of the latency goal', (t) => {
  t.false(hasTimeForPrefill({ leftMs: 1100, latencyGoalMs: 4500, prefillMs: Infinity }));
  t.true(hasTimeForPrefill({ leftMs: 1200, latencyGoalMs: 4500, prefillMs: Infinity }));
});

test('a prefill time beyond the latency goal counts as a quarter of the goal', (t) => {
  t.true(hasTimeForPrefill({ leftMs: 1200, latencyGoalMs: 4500, prefillMs: 9000 }));
});

test('a slow server needs more of the time that is left, one as usual the same', (t) => {
  const options = { leftMs: 1000, latencyGoalMs: 9000, prefillMs: 900 };
  t.false(hasTimeForPrefill({ ...options, slowness: 1.5 }));
  fc.assert(
    fc.property(fc.nat(9000), fc.nat(9000), (leftMs, prefillMs) => {
      const times = { leftMs, prefillMs, latencyGoalMs: 4500 };
      t.is(hasTimeForPrefill({ ...times, slowness: 1 }), hasTimeForPrefill(times));
    }),
  );
});
