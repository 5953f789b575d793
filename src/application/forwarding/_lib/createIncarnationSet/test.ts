import test from 'ava';
import { createIncarnationSet } from '.';

test('distinguishes an added incarnation from a later one of the same id', (t) => {
  const set = createIncarnationSet();
  set.add({ id: 'i-1', bornMs: 1000 });
  t.true(set.has({ id: 'i-1', bornMs: 1000 }));
  t.true(set.has({ id: 'i-1', bornMs: null }));
  t.false(set.has({ id: 'i-1', bornMs: 2000 }));
  t.false(set.has({ id: 'i-2', bornMs: 1000 }));
});

test('keeps only the newest thousand incarnations', (t) => {
  const set = createIncarnationSet();
  for (let index = 0; index <= 1000; index += 1) set.add({ id: `i-${index}`, bornMs: null });
  t.false(set.has({ id: 'i-0', bornMs: null }));
  t.true(set.has({ id: 'i-1', bornMs: null }));
});
