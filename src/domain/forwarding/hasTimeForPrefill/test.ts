import test from 'ava';
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
