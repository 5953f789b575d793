import test from 'ava';
import { computeRefusedShare } from '.';

test('nothing is refused up to the limit, more beyond it, and never everything', (t) => {
  t.is(computeRefusedShare({ delayMs: 0, limitMs: 0 }), 0);
  t.is(computeRefusedShare({ delayMs: 40, limitMs: 40 }), 0);
  t.is(computeRefusedShare({ delayMs: 80, limitMs: 40 }), 0.5);
  t.is(computeRefusedShare({ delayMs: 60_000, limitMs: 40 }), 0.75);
});
