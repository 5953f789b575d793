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

test('a report with a higher sequence number is newer, a duplicate or older one is not', (t) => {
  t.true(isNewerReport(HELD, null));
  t.true(isNewerReport({ ...HELD, sequence: 51 }, HELD));
  t.false(isNewerReport({ ...HELD, receivedAtMs: 20_000 }, HELD));
  t.false(isNewerReport({ ...HELD, sequence: 49, receivedAtMs: 10_500, ageMs: 700 }, HELD));
});

test('the first report of a restarted server is newer', (t) => {
  // Guards against a restarted server that looks as busy as before its crash: after report 50, the
  // new process counts from 1, so that by the sequence number alone its report looks old.
  t.true(isNewerReport({ ...HELD, sequence: 1, receivedAtMs: 15_000 }, HELD));
});
