import test from 'ava';
import { NO_GAPS } from '../../../../domain/detection';
import {
  buildOpenServers,
  createCountedRetries,
  createFakeClock,
  QUIET_LOG,
} from '../../../../../standins/fakes';
import type { GenerationInput } from '../../../../domain/generation';
import { createSendDating } from '../../../time';
import { createServerPaces } from '../../../paces';
import type { StreamAttempt, StreamRun } from '../../types';
import { startSilenceWatch } from '.';

/** Duration of a probe that gets no answer. */
const UNANSWERED_PROBE_MS = 150;

/** What another server needs to take the place of a silent one. */
interface ReplacementOptions {
  readonly resumable?: boolean;
  readonly maxAttempts?: number;
  readonly retries?: number;
  /** Whether an event arrives while a retry is acquired. */
  readonly goesOn?: boolean;
  /** Whether the watch ends meanwhile, as it does at the first event. */
  readonly isStoppedMeanwhile?: boolean;
}

/** A watch on an attempt without events, whose server answers no probe. */
const setUp = (
  probeMs: number,
  {
    goesOn = false,
    isStoppedMeanwhile = false,
    maxAttempts = 2,
    resumable = true,
    retries = 1,
  }: ReplacementOptions = {},
) => {
  const clock = createFakeClock();
  const inputs: GenerationInput[] = [];
  let probes = 0;
  let failures = 0;
  let stopWatch = (): void => undefined;
  const attempt = {
    server: { id: 'i-1', availabilityZone: 'z1' },
    lastActivityMs: 0,
    dating: createSendDating(clock),
    heardSinceMs: 0,
    gaps: NO_GAPS,
    hasDeliveredEvent: false,
    expectedFirstEventMs: 0,
  } as unknown as StreamAttempt;
  const { acquireRetry, countAsked, countLeft } = createCountedRetries({
    count: retries,
    handleAsked: () => {
      if (goesOn) Object.assign(attempt, { lastActivityMs: clock.readMonotonicMs() });
      if (isStoppedMeanwhile) stopWatch();
    },
  });
  const run = {
    context: {
      request: { requestId: 'r-1', arrivedAtMs: 0, tokens: null },
      route: { name: 'r', latencyGoalMs: 4000, gapGoalMs: 700, maxAttempts, resumable },
      service: 's',
      servers: {
        ...buildOpenServers(() => []),
        recordOutcome: () => {
          failures += 1;
        },
      },
      version: 1,
    },
    paces: { listFirstTokens: () => [] },
    copy: null,
    prefillAttempts: 1,
    reservedRetry: null,
    isEnded: () => false,
    crashes: { recordEnd: () => 'check' },
    dispatch: (input: GenerationInput) => inputs.push(input),
    dependencies: {
      clock,
      lender: { acquireRetry },
      directory: { recordStartTime: () => undefined, recordSuspicion: () => undefined },
      meter: { recordAttemptEnd: () => undefined },
      log: QUIET_LOG,
      serverPaces: createServerPaces({ clock }),
      client: {
        readReport: () => {
          probes += 1;
          return new Promise((resolve) => {
            clock.startTimer(probeMs, () => resolve(null));
          });
        },
      },
    },
  } as unknown as StreamRun;
  const stop = startSilenceWatch(run, attempt, { attempt: 1, connection: 0 });
  stopWatch = stop;
  return {
    clock,
    inputs,
    stop,
    countFailures: () => failures,
    countProbes: () => probes,
    countLeftRetries: countLeft,
    countAskedRetries: countAsked,
  };
};

// Guards against giving up a server before its first event because of a single late probe. A VM
// that was slow for a moment then sent prompts again that its servers had nearly processed.
test('before the first event a server is given up only after two unanswered probes', async (t) => {
  const { clock, countProbes, inputs, stop } = setUp(UNANSWERED_PROBE_MS);
  await clock.advanceAsync(560);
  t.is(countProbes(), 1);
  t.is(inputs.length, 0);
  await clock.advanceAsync(250);
  t.is(countProbes(), 2);
  t.deepEqual(inputs, [{ kind: 'silent', reader: { attempt: 1, connection: 0 }, confirmed: true }]);
  stop();
});

// Guards against taking all servers for dead after a stall of this process: the timeouts of its
// probes pass while it reads nothing.
test('a probe that took far longer than its timeout is no evidence', async (t) => {
  const { clock, countProbes, inputs, stop } = setUp(700);
  await clock.advanceAsync(2700);
  t.true(countProbes() >= 3);
  t.is(inputs.length, 0);
  stop();
});

// Guards against taking the wait for a connection for a stall of this process. The kept connection
// to a silent server is dead, and the next probe waits for a new connection until its timeout. A
// lost prompt was then noticed only when the server was back, seconds later.
test('a probe that timed out while connecting counts', async (t) => {
  const { clock, inputs, stop } = setUp(400);
  await clock.advanceAsync(1300);
  t.is(inputs.length, 1);
  stop();
});

// Guards against streams that are cut because their servers were silent, though nothing could replace these.
for (const [reason, options] of [
  ['the stream may not be resumed', { resumable: false }],
  ['the route allows no further server', { maxAttempts: 1 }],
  ['no retry is left', { retries: 0 }],
] as const) {
  test(`a silent server is kept if ${reason}`, async (t) => {
    const { clock, inputs, stop } = setUp(UNANSWERED_PROBE_MS, options);
    await clock.advanceAsync(10_000);
    t.is(inputs.length, 0);
    stop();
  });
}

// Guards against retries that nobody uses while a stream runs on.
test('the retry for a server that goes on meanwhile is given back', async (t) => {
  const { clock, countAskedRetries, countLeftRetries, inputs, stop } = setUp(UNANSWERED_PROBE_MS, {
    goesOn: true,
  });
  await clock.advanceAsync(2000);
  t.true(countAskedRetries() > 0);
  t.is(countLeftRetries(), 1);
  t.is(inputs.length, 0);
  stop();
});

// Guards against retries that nobody uses: a stream whose first event arrives while a retry is acquired
// would hold it until it ends.
test('the retry for a server that begins meanwhile is given back', async (t) => {
  const { clock, countAskedRetries, countLeftRetries } = setUp(UNANSWERED_PROBE_MS, {
    goesOn: true,
    isStoppedMeanwhile: true,
  });
  await clock.advanceAsync(2000);
  t.is(countAskedRetries(), 1);
  t.is(countLeftRetries(), 1);
});

// Guards against versions that are rolled out though their servers fall silent: what is kept as nothing
// may replace it is told to nobody.
test('a silent server that is kept counts as a failure of its version', async (t) => {
  const { clock, countFailures, inputs, stop } = setUp(UNANSWERED_PROBE_MS, { resumable: false });
  await clock.advanceAsync(10_000);
  t.is(inputs.length, 0);
  t.is(countFailures(), 1);
  stop();
});
