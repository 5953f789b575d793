import test from 'ava';
import { computePrefixTrust, MIN_PREFIX_TRUST } from '.';

test('a prefix is trusted after nine missed events, but not after ten or two minutes', (t) => {
  t.is(computePrefixTrust(0, 0), 1);
  t.true(computePrefixTrust(9, 0) > MIN_PREFIX_TRUST);
  t.true(computePrefixTrust(10, 0) < MIN_PREFIX_TRUST);
  t.true(computePrefixTrust(0, 121_000) < MIN_PREFIX_TRUST);
});
