import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import { countReadingRuns } from '.';

const REPORT = buildServerReport({ running: 3 });

test('a run that is not listed yet reads its prompt', (t) => {
  t.is(countReadingRuns({ ...REPORT, eventsByRun: new Map([['a', 4]]) }), 2);
});

test('a list that is newer than the count makes no negative number', (t) => {
  const eventsByRun = new Map(['a', 'b', 'c', 'd'].map((id) => [id, 1]));
  t.is(countReadingRuns({ ...REPORT, eventsByRun }), 0);
});

test('a server that lists no runs tells nothing', (t) => {
  t.is(countReadingRuns({ ...REPORT, eventsByRun: null }), 0);
});
