import { createHash } from 'node:crypto';
import test from 'ava';
import { computePrefixDigests, MAX_PREFIXES } from '.';

test('each digest covers the text from its start to a multiple of the cut length', (t) => {
  const text = 'ab'.repeat(300);
  const digests = computePrefixDigests(text);
  t.is(digests.length, 2);
  t.is(digests[1], createHash('sha256').update(text.slice(0, 512)).digest('hex').slice(0, 16));
});

test('a text shorter than one cut has no digest, a very long one has the maximum', (t) => {
  t.deepEqual(computePrefixDigests('x'.repeat(255)), []);
  t.is(computePrefixDigests('x'.repeat(100_000)).length, MAX_PREFIXES);
});
