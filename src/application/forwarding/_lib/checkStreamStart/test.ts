import test from 'ava';
import { buildServerStatus, createFakeClock, QUIET_LOG } from '../../../../../standins/fakes';
import { createServerPaces } from '../../../paces';
import type { StreamRun } from '../../types';
import { createOverloadTracker } from '../createOverloadTracker';
import { checkStreamStart } from '.';

/** A stream to be started, whose caller has received events up to `lastEventId`. */
const build = (lastEventId: number | null): StreamRun => {
  const clock = createFakeClock();
  return {
    dependencies: {
      clock,
      log: QUIET_LOG,
      randomness: { readFraction: () => 0.5 },
      serverPaces: createServerPaces({ clock }),
    },
    context: {
      request: { requestId: 'r-1', arrivedAtMs: 0, lastEventId, tokens: null },
      route: { name: 'r', latencyGoalMs: 4500 },
      service: 's',
      deadlineAtMs: 20_000,
      isReturning: false,
    },
    paces: { listFirstTokens: () => [] },
    overload: createOverloadTracker(clock),
  } as unknown as StreamRun;
};

const PLACEMENT = {
  server: buildServerStatus('i-1', 'z1').entry,
  copy: null,
  isPromptCached: false,
  isFree: false,
  estimate: {},
  expectedFirstEventMs: 0,
  backup: null,
  predictedMs: 6000,
  grant: null,
};

test('a new stream that cannot start within its latency goal is refused with a retry time', (t) => {
  const refusal = checkStreamStart(build(null), PLACEMENT);
  t.is(refusal?.kind, 'not-run');
  t.is(refusal?.retryAfterMs, 6000);
  t.is(checkStreamStart(build(null), { ...PLACEMENT, predictedMs: 2000 }), null);
});

// Guards against refusing callers under load that already have part of their response. When a VM is
// lost mid-response, its callers retry once with the events that they have. They must not be judged
// by the goal for a first event, which they received long ago.
test('a caller that has part of its response is not refused for the latency goal', (t) => {
  t.is(checkStreamStart(build(7), PLACEMENT), null);
});
