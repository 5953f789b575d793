import test from 'ava';
import { encodeQuarantine } from '../encodeQuarantine';
import { decodeQuarantine } from '.';

test('an encoded quarantine decodes to the same value', (t) => {
  const quarantine = {
    fingerprint: 'f',
    servers: ['i-1', 'i-2@7'],
    lastCrashAtMs: 1_700_000,
    ranMs: 320,
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

test('a row of an earlier version does not say how long its runs had lasted', (t) => {
  const row = Buffer.from('{"servers":["i-1"],"last_crash_unix_ms":1}');
  t.is(decodeQuarantine('f', row)._unsafeUnwrap().ranMs, 0);
});

// Guards against a VM that stands still for seconds at its start, as it counts each server of such
// a row as a crash of its own.
test('a row with more servers than VMs remember is refused, and so is a very long name', (t) => {
  const decode = (servers: readonly string[]) =>
    decodeQuarantine('f', Buffer.from(JSON.stringify({ servers, last_crash_unix_ms: 1 })));
  const list = (length: number): string[] => Array.from({ length }, (_, index) => `i-${index}`);
  t.true(decode(list(32)).isOk());
  t.true(decode(list(33)).isErr());
  t.true(decode(['x'.repeat(60_000)]).isErr());
});
