import test from 'ava';
import { computePaceValue } from '.';

test('tokens and the stated factor are divided out of a duration', (t) => {
  t.is(computePaceValue({ kind: 'prefill', tokens: 1000, tookMs: 500 }), 0.5);
  t.is(computePaceValue({ kind: 'decode', tokens: 0, tookMs: 30 }), 30);
  t.is(computePaceValue({ kind: 'call', tookMs: 50, workFactor: 2.5 }), 20);
});
