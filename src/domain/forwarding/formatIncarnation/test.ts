import test from 'ava';
import { formatIncarnation } from '.';

test('two starts of a server have two names', (t) => {
  t.is(formatIncarnation({ id: 'i-1', bornMs: null }), 'i-1');
  t.not(formatIncarnation({ id: 'i-1', bornMs: 1 }), formatIncarnation({ id: 'i-1', bornMs: 2 }));
});
