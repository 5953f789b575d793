import test from 'ava';
import { hasFailedEarly } from '.';

test('a run that breaks off just after its head has ended early', (t) => {
  t.true(hasFailedEarly({ headAtMs: 500, nowMs: 620 }));
});

test('a run that went on for long, or had not begun, has not', (t) => {
  t.false(hasFailedEarly({ headAtMs: null, nowMs: 60_000 }));
  t.false(hasFailedEarly({ headAtMs: 500, nowMs: 3000 }));
});
