import test from 'ava';
import fc from 'fast-check';
import { computeEventTimeoutMs } from '.';

const PREFILLING = {
  hasDelivered: false,
  hasCopy: false,
  isQueued: false,
  gapGoalMs: 700,
  latencyGoalMs: 4500,
  slowestPrefillMs: 1200,
  expectedFirstEventMs: 0,
};

test('a prompt in prefill has most of the latency goal, or the longest recent prefill time', (t) => {
  t.is(computeEventTimeoutMs(PREFILLING), 3600);
  t.is(computeEventTimeoutMs({ ...PREFILLING, slowestPrefillMs: 5000 }), 5000);
});

test('a queued run has three latency goals', (t) => {
  t.is(computeEventTimeoutMs({ ...PREFILLING, isQueued: true }), 13_500);
  t.is(computeEventTimeoutMs({ ...PREFILLING, isQueued: true, hasDelivered: true }), 13_500);
});

test('a run with a copy is given up within the gap goal, one without a copy after three', (t) => {
  const delivered = { ...PREFILLING, hasDelivered: true };
  t.is(Math.round(computeEventTimeoutMs({ ...delivered, hasCopy: true })), 490);
  t.is(Math.round(computeEventTimeoutMs({ ...delivered, hasCopy: true, isQueued: true })), 490);
  t.is(computeEventTimeoutMs(delivered), 2100);
});

// Guards against repeated prefill of long prompts: a prefill of 3.7 s was given up after 3.6 s and
// sent again, because the timeout ignored the predicted prefill time.
test('a prompt with a long predicted prefill is not given up during the prefill', (t) => {
  t.true(computeEventTimeoutMs({ ...PREFILLING, expectedFirstEventMs: 3700 }) >= 7400);
  t.is(
    computeEventTimeoutMs({ ...PREFILLING, expectedFirstEventMs: 500 }),
    computeEventTimeoutMs(PREFILLING),
  );
});

test('a slow server gets more time for its first event, a fast one no less than before', (t) => {
  const slow = { ...PREFILLING, slowestPrefillMs: 3000, slowness: 2 };
  t.is(computeEventTimeoutMs(slow), 6000);
  fc.assert(
    fc.property(
      fc.record({
        hasDelivered: fc.boolean(),
        hasCopy: fc.boolean(),
        isQueued: fc.boolean(),
        slowestPrefillMs: fc.nat(20_000),
        expectedFirstEventMs: fc.nat(20_000),
      }),
      fc.double({ min: 0.01, max: 10, noNaN: true }),
      (change, slowness) => {
        const state = { ...PREFILLING, ...change };
        t.true(computeEventTimeoutMs({ ...state, slowness }) >= computeEventTimeoutMs(state));
        t.is(computeEventTimeoutMs({ ...state, slowness: 1 }), computeEventTimeoutMs(state));
      },
    ),
  );
});
