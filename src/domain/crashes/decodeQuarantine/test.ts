import test from 'ava';
import { encodeQuarantine } from '../encodeQuarantine';
import { decodeQuarantine } from '.';

test('an encoded quarantine decodes to the same value', (t) => {
  const quarantine = {
    fingerprint: 'f',
    servers: ['i-1', 'i-2@7'],
    lastCrashAtMs: 1_700_000,
    isCertain: true,
  };
  const tried = { ...quarantine, isCertain: false, trialStoreMs: 70_000 };
  [quarantine, tried].forEach((one) => {
    t.deepEqual(decodeQuarantine('f', encodeQuarantine(one))._unsafeUnwrap(), one);
  });
});

test('a malformed row is an error', (t) => {
  ['', '{', '[]', '{"servers":[],"last_crash_unix_ms":1}', '{"servers":["i"]}'].forEach((text) => {
    t.true(decodeQuarantine('f', Buffer.from(text)).isErr());
  });
});
