import test from 'ava';
import { computeBurstPause } from '.';

test('the pause leaves most of the time in which a change must be in force', (t) => {
  t.is(computeBurstPause({ changeMs: 2000 }), 600);
  t.true(computeBurstPause({ changeMs: 500 }) < 250);
});
