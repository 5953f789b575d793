import test from 'ava';
import { err } from 'neverthrow';
import { addTokensToChain, computeInitialChain, signCursor, verifyCursor } from '..';

const cursor = {
  generationId: 'gen_1',
  workspace: 'sello',
  service: 'review',
  attempt: 2,
  streamId: 'gen_1.2.ab',
  backendServer: 'engine-1',
  vm: 'entry-1',
  offset: 40,
  chain: addTokensToChain(computeInitialChain('digest', 'gen_1'), [1, 2, 3]),
};

test('a cursor is accepted if any of the keys signed it', (t) => {
  const text = signCursor(cursor, ['old']);
  t.deepEqual(verifyCursor(text, ['new', 'old']).unwrapOr(null), cursor);
  t.deepEqual(verifyCursor(text, ['new']), err({ kind: 'bad-signature' }));
});

test('altered, truncated and malformed cursors are rejected', (t) => {
  const text = signCursor(cursor, ['key']);
  const altered = signCursor({ ...cursor, offset: 41 }, ['key']).split('.')[0];
  const bad = [
    `${altered}.${text.split('.')[1]}`,
    text.slice(0, -3),
    '',
    '.',
    'a.b.c',
    'x'.repeat(5000),
  ];
  bad.forEach((entry) => t.true(verifyCursor(entry, ['key']).isErr(), entry));
});

test('the chain depends on the tokens and their order but not on their batches', (t) => {
  const start = computeInitialChain('digest', 'gen_1');
  t.is(addTokensToChain(addTokensToChain(start, [1]), [2, 3]), cursor.chain);
  t.not(addTokensToChain(start, [1, 3, 2]), cursor.chain);
  t.not(addTokensToChain(computeInitialChain('digest', 'gen_2'), [1, 2, 3]), cursor.chain);
});
