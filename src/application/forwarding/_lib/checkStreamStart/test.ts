import test from 'ava';
import { buildServerStatus, createFakeClock, QUIET_LOG } from '../../../../../standins/fakes';
import type { StreamRun } from '../../types';
import { createOverloadTracker } from '../createOverloadTracker';
import { checkStreamStart } from '.';

/** A stream that is to be begun, its caller holding events up to `lastEventId`. */
const build = (lastEventId: number | null): StreamRun => {
  const clock = createFakeClock();
  return {
    dependencies: { clock, log: QUIET_LOG, randomness: { readFraction: () => 0.5 } },
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

const SERVERS = {
  server: buildServerStatus('i-1', 'z1').entry,
  copy: null,
  isPromptCached: false,
  isFree: false,
  estimate: {},
  expectedFirstEventMs: 0,
  backup: null,
  predictedMs: 6000,
};

test('a new stream that can not begin within its goal is refused, and told when to come back', (t) => {
  const refusal = checkStreamStart(build(null), SERVERS);
  t.is(refusal?.kind, 'not-run');
  t.is(refusal?.retryAfterMs, 6000);
  t.is(checkStreamStart(build(null), { ...SERVERS, predictedMs: 2000 }), null);
});

// Symptom: callers whose VM was lost in mid-answer are refused under load, and lose the whole answer.
// Sequence: they come back with the events that they have, once, while queues are long.
// Cause: they were weighed by the goal for a first event, which they had long ago.
test('a caller that has part of its answer is not refused for the goal', (t) => {
  t.is(checkStreamStart(build(7), SERVERS), null);
});
