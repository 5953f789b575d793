import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import { hasCopyRoom } from '.';

const REPORT = buildServerReport({ running: 2, kvUsedTokens: 20_000, eventsByRun: null });

test('a server takes copies while there is room for runs beside them', (t) => {
  t.true(hasCopyRoom(REPORT, 9000));
  t.false(hasCopyRoom({ ...REPORT, kvUsedTokens: 60_000 }, 9000));
  t.false(hasCopyRoom({ ...REPORT, waiting: 5 }, 9000));
});

test('a server that does not tell its memory takes copies', (t) => {
  t.true(hasCopyRoom({ ...REPORT, kvTotalTokens: 0, kvUsedTokens: 0 }, 9000));
});
