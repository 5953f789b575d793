import test from 'ava';
import { buildServerReport } from '../../../../standins/fakes';
import { countPrefillingRuns } from '.';

const REPORT = buildServerReport({ running: 3 });

test('a running request that is not listed is in prefill', (t) => {
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun: new Map([['a', 4]]) }), 2);
});

test('a list that is newer than the count gives no negative number', (t) => {
  const eventsByRun = new Map(['a', 'b', 'c', 'd'].map((id) => [id, 1]));
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun }), 0);
});

test('a server that lists no runs counts as having none in prefill', (t) => {
  t.is(countPrefillingRuns({ ...REPORT, eventsByRun: null }), 0);
});
