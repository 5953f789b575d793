import test from 'ava';
import { hasTimeForPrefill } from '.';

test('a prompt that takes longer to read than the caller waits has no time', (t) => {
  t.false(hasTimeForPrefill({ leftMs: 900, latencyGoalMs: 4500, prefillMs: 1000 }));
  t.true(hasTimeForPrefill({ leftMs: 1000, latencyGoalMs: 4500, prefillMs: 1000 }));
});

test('while no pace is known, a quarter of the goal counts', (t) => {
  t.false(hasTimeForPrefill({ leftMs: 1100, latencyGoalMs: 4500, prefillMs: Infinity }));
  t.true(hasTimeForPrefill({ leftMs: 1200, latencyGoalMs: 4500, prefillMs: Infinity }));
});

test('a pace that is slower than the goal allows does not refuse what could still be answered', (t) => {
  t.true(hasTimeForPrefill({ leftMs: 1200, latencyGoalMs: 4500, prefillMs: 9000 }));
});
