import test from 'ava';
import { computeWorkFactor } from '.';

test('a factor counts in full at once and decays until it counts for nothing', (t) => {
  t.is(computeWorkFactor(2.5, 0), 2.5);
  t.is(computeWorkFactor(2.5, 300), 1.75);
  t.is(computeWorkFactor(2.5, 600), 1);
});

test('a factor of two seconds ago counts for nothing, so that its server is used again', (t) => {
  t.is(computeWorkFactor(2.5, 2000), 1);
  t.is(computeWorkFactor(0.5, Infinity), 1);
});
