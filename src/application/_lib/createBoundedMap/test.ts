import test from 'ava';
import { createBoundedMap } from '.';

test('the oldest entry is evicted, and an entry that is set again counts as new', (t) => {
  const map = createBoundedMap<number>(2);
  map.set('a', 1);
  map.set('b', 2);
  map.set('a', 3);
  map.set('c', 4);
  t.deepEqual(
    ['a', 'b', 'c'].map((key) => map.get(key)),
    [3, undefined, 4],
  );
});
