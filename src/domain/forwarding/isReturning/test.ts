import test from 'ava';
import { isReturning } from '.';

test('a caller whose time is shorter by what it was told to stay away was refused before', (t) => {
  t.true(isReturning({ deadlineMs: 20_500, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
});

test('times of new callers differ by less, and one that says none is new', (t) => {
  t.false(isReturning({ deadlineMs: 21_250, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
  t.false(isReturning({ deadlineMs: null, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
});
