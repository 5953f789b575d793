import test from 'ava';
import type { LoadReport } from '../../types';
import { isNewerReport } from '.';

const HELD: LoadReport = {
  backendServer: 'review-1',
  sequence: 50,
  running: 1,
  waiting: 0,
  slots: 8,
  cacheUse: 0,
  tokensPerSecond: 0,
  models: [],
  role: 'serve',
  leaving: false,
  fencingToken: 0,
  ageMs: 100,
  receivedAtMs: 10_000,
};

test('takes a higher sequence, and leaves a repeated or an older one', (t) => {
  t.true(isNewerReport(HELD, null));
  t.true(isNewerReport({ ...HELD, sequence: 51 }, HELD));
  t.false(isNewerReport({ ...HELD, receivedAtMs: 20_000 }, HELD));
  t.false(isNewerReport({ ...HELD, sequence: 49, receivedAtMs: 10_500, ageMs: 700 }, HELD));
});

test('takes the first reports of a restarted server', (t) => {
  // Symptom: a restarted server looks as busy as before its death.
  // Sequence: report 50; death; new process; report 1, sampled 5 s later.
  // Cause: the new process counts from 1, so that the sequence alone says "old".
  t.true(isNewerReport({ ...HELD, sequence: 1, receivedAtMs: 15_000 }, HELD));
});
