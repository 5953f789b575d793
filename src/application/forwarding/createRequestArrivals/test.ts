import test from 'ava';
import { createRequestArrivals } from '.';

const PATH = { server: 'i-1', relay: null };

/** The arrivals of a request, what became of its retries, and the servers' late reading. */
const build = () => {
  const ended: string[] = [];
  const reads: (() => void)[] = [];
  const arrivals = createRequestArrivals({
    clock: { readMonotonicMs: () => 0 },
    unread: { addAttempt: (_path, _sentAtMs, handleRead) => reads.push(handleRead) },
  });
  const buildRetry = () => ({
    finish: () => ended.push('finished'),
    release: () => ended.push('released'),
  });
  return { arrivals, buildRetry, ended, readNext: () => reads.shift()?.() };
};

test('a retry is finished once its attempt was answered, and released if it was not sent', (t) => {
  const { arrivals, buildRetry, ended } = build();
  arrivals.startAttempt(null).recordRead();
  const second = arrivals.startAttempt(buildRetry());
  t.deepEqual(ended, []);
  second.recordRead();
  t.deepEqual(ended, ['finished']);
  arrivals.startAttempt(buildRetry()).recordUnsent();
  t.deepEqual(ended, ['finished', 'released']);
  t.is(arrivals.countSent(), 2);
});

// Guards against first attempts that arrive after the second one, and count as repeats only then.
test('a retry is kept while an earlier attempt may still arrive', (t) => {
  const { arrivals, buildRetry, ended, readNext } = build();
  arrivals.startAttempt(null).recordGivenUp(PATH);
  arrivals.startAttempt(buildRetry()).recordRead();
  t.deepEqual(ended, []);
  readNext();
  t.deepEqual(ended, ['finished']);
});

test('of two attempts that may still arrive one needs a retry, after an arrival both do', (t) => {
  const { arrivals, buildRetry, ended, readNext } = build();
  arrivals.startAttempt(null).recordGivenUp(PATH);
  arrivals.startAttempt(buildRetry()).recordGivenUp(PATH);
  readNext();
  t.deepEqual(ended, []);
  const third = arrivals.startAttempt(buildRetry());
  third.recordRead();
  t.deepEqual(ended, ['finished']);
  readNext();
  t.deepEqual(ended, ['finished', 'finished']);
});

test('a request whose only attempt was not sent has not arrived', (t) => {
  const { arrivals } = build();
  const attempt = arrivals.startAttempt(null);
  t.is(arrivals.countSent(), 1);
  attempt.recordUnsent();
  attempt.recordRead();
  t.is(arrivals.countSent(), 0);
});
