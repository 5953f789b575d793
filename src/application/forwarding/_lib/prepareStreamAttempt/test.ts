import test from 'ava';
import { createStreamFixture } from '../../../../../standins/model';
import { createLatencyHistory } from '../../../_lib/createLatencyHistory';
import type { Retry, StreamRun } from '../../types';
import { prepareStreamAttempt } from '.';

const OPENING = {
  kind: 'open-attempt',
  reader: { attempt: 2, connection: 0 },
  purpose: 'resume',
  excludedServers: [],
} as const;

/** A stream that goes on at another server and has a retry for that. */
const build = () => {
  const { context, dependencies } = createStreamFixture({ hasEngine: false });
  const state = { acquired: 1, isHeld: false };
  const retry: Retry = {
    finish: () => undefined,
    release: () => {
      state.acquired -= 1;
    },
  };
  Object.assign(dependencies, {
    lender: {
      acquireRetry: async () => {
        state.acquired += 1;
        return retry;
      },
    },
    crashTrials: { acquireTrial: async () => false },
  });
  const run = {
    context,
    dependencies,
    copy: null,
    crashes: { findCause: () => (state.isHeld ? { isCertain: false, remainingMs: 0 } : null) },
    paces: createLatencyHistory(),
    isEnded: () => false,
    readState: () => ({ offset: 1, mayHaveStarted: true, attempts: [OPENING.reader] }),
    dispatch: () => undefined,
    arrivals: { countSent: () => 1 },
    prefillAttempts: 1,
    reservedRetry: retry,
    isTrial: false,
  } as unknown as StreamRun;
  return { run, state };
};

test('an attempt uses the retry that was reserved for it', async (t) => {
  const { run, state } = build();
  t.truthy(await prepareStreamAttempt(run, OPENING));
  t.is(state.acquired, 1);
});

// Guards against more repeats than the bound allows: a released retry that is used all the same.
test('a reserved retry that was released is acquired again', async (t) => {
  const { run, state } = build();
  state.isHeld = true;
  t.is(await prepareStreamAttempt(run, OPENING), null);
  state.isHeld = false;
  t.truthy(await prepareStreamAttempt(run, OPENING));
  t.is(state.acquired, 1);
});
