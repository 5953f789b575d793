import test from 'ava';
import { listPartIds } from '.';

const buildParts = (...ids: readonly string[]) => ids.map((id) => ({ id, tokens: 10 }));

test('all parts are listed, also the last and the only one', (t) => {
  t.deepEqual(listPartIds(buildParts('a', 'b', 'c')), ['a', 'b', 'c']);
  t.deepEqual(listPartIds(buildParts('a')), ['a']);
  t.deepEqual(listPartIds([]), []);
});

test('a part that occurs twice is listed once', (t) => {
  t.deepEqual(listPartIds(buildParts('a', 'c', 'a')), ['a', 'c']);
});
