import test from 'ava';
import { computeTrust, LOWEST_TRUST } from '.';

test('nine missed events are bearable, ten are not; neither is much time', (t) => {
  t.is(computeTrust(0, 0), 1);
  t.true(computeTrust(9, 0) > LOWEST_TRUST);
  t.true(computeTrust(10, 0) < LOWEST_TRUST);
  t.true(computeTrust(0, 121_000) < LOWEST_TRUST);
});
