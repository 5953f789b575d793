import test from 'ava';
import { hasEndedEarly } from '.';

test('a run that breaks off before or just after its head has ended early', (t) => {
  t.true(hasEndedEarly({ headAtMs: null, nowMs: 60_000 }));
  t.true(hasEndedEarly({ headAtMs: 500, nowMs: 620 }));
});

test('a run that went on for long has not', (t) => {
  t.false(hasEndedEarly({ headAtMs: 500, nowMs: 3000 }));
});
