import test from 'ava';
import { hasEndedEarly } from '.';

test('a run that breaks off just after its head has ended early', (t) => {
  t.true(hasEndedEarly({ headAtMs: 500, nowMs: 620 }));
});

test('a run that went on for long, or had not begun, has not', (t) => {
  t.false(hasEndedEarly({ headAtMs: null, nowMs: 60_000 }));
  t.false(hasEndedEarly({ headAtMs: 500, nowMs: 3000 }));
});
