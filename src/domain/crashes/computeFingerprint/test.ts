import test from 'ava';
import { computeFingerprint } from '.';

const REQUEST = { target: '/draft/7?x=1', body: Buffer.from('a long prompt') };

test('a retried request has the same fingerprint', (t) => {
  const again = { target: '/draft/7?x=1', body: Buffer.from('a long prompt') };
  t.is(computeFingerprint(REQUEST, 'w1'), computeFingerprint(again, 'w1'));
  t.regex(computeFingerprint(REQUEST, 'w1'), /^[0-9a-f]{16}$/);
});

test('a different path, caller or body gives a different fingerprint', (t) => {
  const fingerprints = [
    computeFingerprint(REQUEST, 'w1'),
    computeFingerprint(REQUEST, 'w2'),
    computeFingerprint(REQUEST, null),
    computeFingerprint({ ...REQUEST, target: '/draft/7' }, 'w1'),
    computeFingerprint({ ...REQUEST, body: Buffer.from('a long promp') }, 'w1'),
  ];
  t.is(new Set(fingerprints).size, fingerprints.length);
});
