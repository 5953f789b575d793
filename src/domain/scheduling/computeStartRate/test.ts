import test from 'ava';
import { buildScheduledServer } from '../../../../standins/fakes';
import { computeStartRate } from '.';

const TYPICAL = { promptTokens: 8000, outputTokens: 1000, leftMs: 24_000, goalMs: 4000 };

test('a server that is kept full begins as many streams as end', (t) => {
  // Seven runs of 12 s each.
  const rate = computeStartRate([buildScheduledServer('a'), buildScheduledServer('b')], TYPICAL);
  t.true(Math.abs(rate - 14 / 12) < 1e-9);
});

test('slots, memory and usability bound the runs', (t) => {
  const compute = (change: object): number =>
    computeStartRate([buildScheduledServer('a', change)], TYPICAL);
  t.is(compute({ slots: 1 }), 1 / 6);
  t.is(compute({ kvTotalTokens: 20_000 }), 2 / 7);
  t.is(compute({ isUsable: false }), 0);
});

// Guards against a VM that stands still: it counted up to the slots of a server's entry, which
// states any number.
test('a server with a very large number of slots is counted at once', (t) => {
  const typical = { ...TYPICAL, promptTokens: 0 };
  const change = { slots: Number.MAX_SAFE_INTEGER, kvTotalTokens: 0 };
  const startedAtMs = performance.now();
  t.true(computeStartRate([buildScheduledServer('a', change)], typical) > 0);
  t.true(performance.now() - startedAtMs < 1000);
});
