import test from 'ava';
import { isReturning } from '.';

test('a request whose deadline is shorter by the retry delay is a retry', (t) => {
  t.true(isReturning({ deadlineMs: 20_500, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
});

test('a request with a smaller difference or without a deadline is new', (t) => {
  t.false(isReturning({ deadlineMs: 21_250, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
  t.false(isReturning({ deadlineMs: null, longestDeadlineMs: 25_000, minRetryAfterMs: 4500 }));
});
