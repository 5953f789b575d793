import test from 'ava';
import { addTokenToChain } from '../addTokenToChain';
import { computeChainStart } from '../computeChainStart';
import { computeTokenId } from '../computeTokenId';
import { formatToken } from '../formatToken';
import { checkChain } from '.';

const PROMPT = 'review\nuser\nplease review\n';

function buildTokens(nonces: readonly string[], prompt = PROMPT): string[] {
  let chain = computeChainStart(prompt);
  return nonces.map((nonce, index) => {
    const id = computeTokenId(chain, nonce, index);
    chain = addTokenToChain(chain, id);
    return formatToken({ index, nonce, id });
  });
}

const whole = buildTokens(['aa', 'aa', 'aa', 'bb', 'bb', 'bb']);
const other = buildTokens(['cc', 'cc', 'cc', 'cc', 'cc', 'cc']);

test('a generation continued by another attempt is whole', (t) => {
  const report = checkChain(PROMPT, whole, { expectedTokens: 6 });
  t.deepEqual(report, { tokens: 6, missing: 0, repeated: 0, mixed: 0, ok: true });
});

test('each seeded fault is found', (t) => {
  const faults: Record<string, [texts: string[], expected: object]> = {
    skipped: [[...whole.slice(0, 2), ...whole.slice(3)], { missing: 1, repeated: 0 }],
    repeated: [[...whole.slice(0, 3), ...whole.slice(2)], { missing: 0, repeated: 1, mixed: 0 }],
    'end lost': [whole.slice(0, 4), { missing: 2, repeated: 0, mixed: 0 }],
    mixed: [[...whole.slice(0, 3), ...other.slice(3)], { missing: 0, repeated: 0, mixed: 3 }],
    'foreign repeat': [
      [...whole.slice(0, 3), other[2] ?? '', ...whole.slice(3)],
      { repeated: 1, mixed: 1 },
    ],
    'foreign prompt': [buildTokens(['aa', 'aa'], 'x'), { missing: 4, mixed: 2 }],
    'cut in two': [
      [...whole.slice(0, 2), (whole[2] ?? '').slice(0, 6), ...whole.slice(2)],
      { missing: 0, mixed: 1 },
    ],
  };
  Object.entries(faults).forEach(([name, [texts, expected]]) => {
    const report = checkChain(PROMPT, texts, { expectedTokens: 6 });
    t.like(report, { ...expected, ok: false }, name);
  });
});
