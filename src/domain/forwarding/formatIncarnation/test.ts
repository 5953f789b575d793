import test from 'ava';
import { formatIncarnation } from '.';

test('two incarnations of a server have different names', (t) => {
  t.is(formatIncarnation({ id: 'i-1', bornMs: null }), 'i-1');
  t.not(formatIncarnation({ id: 'i-1', bornMs: 1 }), formatIncarnation({ id: 'i-1', bornMs: 2 }));
});
