import test from 'ava';
import { compareIncarnations } from '.';

test('a later start time is newer, an earlier one older', (t) => {
  t.is(compareIncarnations(1, 2), 'newer');
  t.is(compareIncarnations(2, 1), 'older');
  t.is(compareIncarnations(2, 2), 'same');
});

test('an unknown start time counts as the same incarnation', (t) => {
  t.is(compareIncarnations(null, 2), 'same');
  t.is(compareIncarnations(2, null), 'same');
});
