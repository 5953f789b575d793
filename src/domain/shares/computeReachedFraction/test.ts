import test from 'ava';
import { computeReachedFraction } from '.';

const HOLDERS = ['a', 'b', 'c', 'd'];

test('the sides of a cut add up to the whole', (t) => {
  t.is(computeReachedFraction(HOLDERS, new Set(['a', 'b', 'c'])), 0.75);
  t.is(computeReachedFraction(HOLDERS, new Set(['d'])), 0.25);
});

test('VMs that hold nothing do not count, and without a ledger nothing is known of others', (t) => {
  t.is(computeReachedFraction(HOLDERS, new Set(['e'])), 0);
  t.is(computeReachedFraction([], new Set(['a'])), 1);
});
