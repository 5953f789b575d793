import test from 'ava';
import { computeBatchDelayMs } from '.';

test('the delay leaves most of the time until a change must be in force', (t) => {
  t.is(computeBatchDelayMs({ changeMs: 2000 }), 600);
  t.true(computeBatchDelayMs({ changeMs: 500 }) < 250);
});
