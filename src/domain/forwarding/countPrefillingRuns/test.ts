import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import { countPrefillingRuns } from '.';

const REPORT = buildServerReport({ running: 3 });

test('a run that is not listed yet reads its prompt', (t) => {
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun: new Map([['a', 4]]) }), 2);
});

test('a list that is newer than the count makes no negative number', (t) => {
  const eventsByRun = new Map(['a', 'b', 'c', 'd'].map((id) => [id, 1]));
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun }), 0);
});

test('a server that lists no runs tells nothing', (t) => {
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun: null }), 0);
});
