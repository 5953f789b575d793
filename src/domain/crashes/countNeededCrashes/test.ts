import test from 'ava';
import { countNeededCrashes } from '.';

test('a part that servers have answered as well needs more crashes', (t) => {
  t.is(countNeededCrashes({ isPart: true, hasAnswer: false }), 3);
  t.is(countNeededCrashes({ isPart: true, hasAnswer: true }), 5);
});

test('a request needs three crashes', (t) => {
  t.is(countNeededCrashes({ isPart: false, hasAnswer: true }), 3);
});
