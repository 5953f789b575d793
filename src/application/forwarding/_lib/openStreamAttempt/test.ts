import test from 'ava';
import { UNCOUNTED_RETRY } from '../../../../../standins/fakes';
import { createStreamFixture } from '../../../../../standins/model';
import { createLatencyHistory } from '../../../_lib/createLatencyHistory';
import { createOverloadTracker } from '../createOverloadTracker';
import { forwardStream } from '../forwardStream';

// Guards against repeats that no VM counts: an attempt that its server has not answered yet was
// replaced by another one as if it had reached no server.
test('an attempt that replaces one without an answer needs a retry', async (t) => {
  const { clock, context, dependencies } = createStreamFixture({ hasEngine: false });
  const losses: (() => void)[] = [];
  let sent = 0;
  let acquired = 0;
  const { directory } = dependencies;
  Object.assign(dependencies, {
    crashProbe: { startProbe: () => undefined, startRecheck: () => undefined },
    crashes: {
      ...dependencies.crashes,
      findCause: () => null,
      findQuarantine: () => null,
      recordOutcome: () => undefined,
    },
    client: {
      ...dependencies.client,
      // Never answered, and not known to have ended when the next attempt is chosen.
      sendAttempt: () => {
        sent += 1;
        return new Promise<never>(() => {});
      },
    },
    directory: {
      ...directory,
      startWork: (
        id: string,
        options: { readonly prefillTokens: number; readonly handleLoss: () => void },
      ) => {
        losses.push(options.handleLoss);
        return directory.startWork(id, options);
      },
    },
    lender: {
      acquireRetry: async () => {
        acquired += 1;
        return UNCOUNTED_RETRY;
      },
    },
  });
  forwardStream(dependencies, context, {
    paces: createLatencyHistory(),
    overload: createOverloadTracker(clock),
  });
  await clock.advanceAsync(100);
  t.deepEqual([sent, acquired], [1, 0]);
  losses[0]?.();
  await clock.advanceAsync(100);
  t.deepEqual([sent, acquired], [2, 1]);
});
