import test from 'ava';
import { isShareOwed } from '.';

test('a less urgent class gets a quarter as many starts while the more urgent one does not fit', (t) => {
  t.true(isShareOwed({ isUrgentOverloaded: true, urgentStarts: 8, otherStarts: 1 }));
  t.false(isShareOwed({ isUrgentOverloaded: true, urgentStarts: 8, otherStarts: 2 }));
  t.false(isShareOwed({ isUrgentOverloaded: false, urgentStarts: 8, otherStarts: 0 }));
});
