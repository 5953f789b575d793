import test from 'ava';
import { buildRunOutcome } from '../../../../standins/fakes';
import { listCrashedServers } from '../listCrashedServers';
import { countLostRuns } from '.';

/** Lists servers that crash at the given times, each with two runs. */
const buildServers = (times: readonly number[]) =>
  listCrashedServers(
    times.flatMap((atMs, index) =>
      ['a', 'b'].map((requestId) =>
        buildRunOutcome({ server: `i-${index}`, fingerprint: requestId, requestId, atMs }),
      ),
    ),
  );

test('the runs of servers that crash one after the other all count', (t) => {
  t.is(countLostRuns([]), 0);
  t.is(countLostRuns(buildServers([0])), 2);
  t.is(countLostRuns(buildServers([2000, 0, 1000])), 6);
});

// Guards against one loss of a zone that is weighed like a dozen crashes.
test('servers that crash together count as one of them', (t) => {
  t.is(countLostRuns(buildServers([0, 10, 20, 30, 250])), 2);
  t.is(countLostRuns(buildServers([0, 10, 20, 6000, 6010])), 4);
});

test('a series of crashes does not become one event, however short the time between them', (t) => {
  t.is(countLostRuns(buildServers([0, 100, 200, 300, 400, 500])), 4);
});
