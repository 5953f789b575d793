import test from 'ava';
import { isPartFingerprint } from '../isPartFingerprint';
import { formatPartFingerprint } from '.';

test('the fingerprint of a part is told from that of a request', (t) => {
  t.is(formatPartFingerprint('5c1e07a2'), 'part-5c1e07a2');
  t.true(isPartFingerprint(formatPartFingerprint('5c1e07a2')));
  t.false(isPartFingerprint('0f3c5c1e07a2aa01'));
});
