import test from 'ava';
import { createRequestArrivals } from '.';

const PATH = { server: 'i-1', relay: null };

/** The arrivals of a request, what became of its retries, and the servers' late reading. */
const build = () => {
  const ended: string[] = [];
  const reads: (() => void)[] = [];
  const arrivals = createRequestArrivals({
    readNowMs: () => 0,
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
  arrivals.startAttempt(null).confirm();
  const second = arrivals.startAttempt(buildRetry());
  t.deepEqual(ended, []);
  second.confirm();
  t.deepEqual(ended, ['finished']);
  arrivals.startAttempt(buildRetry()).cancel();
  t.deepEqual(ended, ['finished', 'released']);
  t.is(arrivals.countSent(), 2);
});

// Guards against first attempts that arrive after the second one, and count as repeats only then.
test('a retry is kept while an earlier attempt may still arrive', (t) => {
  const { arrivals, buildRetry, ended, readNext } = build();
  arrivals.startAttempt(null).abandon(PATH);
  arrivals.startAttempt(buildRetry()).confirm();
  t.deepEqual(ended, []);
  readNext();
  t.deepEqual(ended, ['finished']);
});

test('of two attempts that may still arrive one needs a retry, after an arrival both do', (t) => {
  const { arrivals, buildRetry, ended, readNext } = build();
  arrivals.startAttempt(null).abandon(PATH);
  arrivals.startAttempt(buildRetry()).abandon(PATH);
  readNext();
  t.deepEqual(ended, []);
  const third = arrivals.startAttempt(buildRetry());
  third.confirm();
  t.deepEqual(ended, ['finished']);
  readNext();
  t.deepEqual(ended, ['finished', 'finished']);
});

test('a request whose only attempt was not sent has not arrived', (t) => {
  const { arrivals } = build();
  const attempt = arrivals.startAttempt(null);
  t.is(arrivals.countSent(), 1);
  attempt.cancel();
  attempt.confirm();
  t.is(arrivals.countSent(), 0);
});
