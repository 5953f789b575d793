import test from 'ava';
import { hasCopyRoom } from '.';

const REPORT = {
  waiting: 0,
  running: 2,
  kvUsedTokens: 20_000,
  kvTotalTokens: 88_000,
  eventsByRun: null,
  bornMs: null,
};

test('a server takes copies while there is room for runs beside them', (t) => {
  t.true(hasCopyRoom(REPORT, 9000));
  t.false(hasCopyRoom({ ...REPORT, kvUsedTokens: 60_000 }, 9000));
  t.false(hasCopyRoom({ ...REPORT, waiting: 5 }, 9000));
});

test('a server that does not tell its memory takes copies', (t) => {
  t.true(hasCopyRoom({ ...REPORT, kvTotalTokens: 0, kvUsedTokens: 0 }, 9000));
});
