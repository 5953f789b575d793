import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import { hasMemoryForCopy } from '.';

const REPORT = buildServerReport({ running: 2, kvUsedTokens: 20_000, eventsByRun: null });

test('a server has memory for a copy only if enough is left for its waiting runs', (t) => {
  t.true(hasMemoryForCopy(REPORT, 9000));
  t.false(hasMemoryForCopy({ ...REPORT, kvUsedTokens: 60_000 }, 9000));
  t.false(hasMemoryForCopy({ ...REPORT, waiting: 5 }, 9000));
});

test('a server that does not report its memory takes copies', (t) => {
  t.true(hasMemoryForCopy({ ...REPORT, kvTotalTokens: 0, kvUsedTokens: 0 }, 9000));
});
