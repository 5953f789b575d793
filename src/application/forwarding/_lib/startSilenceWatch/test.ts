import test from 'ava';
import { NO_GAPS } from '../../../../domain/detection';
import { buildOpenServers, createFakeClock, QUIET_LOG } from '../../../../../standins/fakes';
import type { GenerationInput } from '../../../../domain/generation';
import type { StreamAttempt, StreamRun } from '../../types';
import { startSilenceWatch } from '.';

/** How long a question takes that gets no answer. */
const MISSED_MS = 150;

/** A watch on an attempt without an event, whose server answers no question. */
const setUp = (questionMs: number) => {
  const clock = createFakeClock();
  const inputs: GenerationInput[] = [];
  let asked = 0;
  const attempt = {
    server: { id: 'i-1', availabilityZone: 'z1' },
    lastActivityMs: 0,
    gaps: NO_GAPS,
    hasDeliveredEvent: false,
    expectedFirstEventMs: 0,
  } as unknown as StreamAttempt;
  const run = {
    context: {
      request: { requestId: 'r-1', arrivedAtMs: 0, tokens: null },
      route: { name: 'r', latencyGoalMs: 4000, gapGoalMs: 700 },
      service: 's',
      servers: buildOpenServers(() => []),
      version: 1,
    },
    paces: { listFirstTokens: () => [] },
    copy: null,
    dispatch: (input: GenerationInput) => inputs.push(input),
    dependencies: {
      clock,
      directory: { recordStartTime: () => undefined },
      log: QUIET_LOG,
      client: {
        readReport: () => {
          asked += 1;
          return new Promise((resolve) => {
            clock.startTimer(questionMs, () => resolve(null));
          });
        },
      },
    },
  } as unknown as StreamRun;
  const stop = startSilenceWatch(run, attempt, { attempt: 1, connection: 0 });
  return { clock, inputs, stop, countAsked: () => asked };
};

// Symptom: a VM that is slow for a moment reads prompts anew that its servers had nearly read.
// Sequence: one question to a server gets its answer late.
// Cause: a single missed answer counts as a lost server, also before the first event.
test('before the first event a server is given up only after two questions without an answer', async (t) => {
  const { clock, countAsked, inputs, stop } = setUp(MISSED_MS);
  await clock.advanceAsync(560);
  t.is(countAsked(), 1);
  t.is(inputs.length, 0);
  await clock.advanceAsync(250);
  t.is(countAsked(), 2);
  t.deepEqual(inputs, [{ kind: 'silent', reader: { attempt: 1, connection: 0 }, confirmed: true }]);
  stop();
});

// Symptom: a VM that wakes takes all servers for dead.
// Sequence: the process stands still; the limits of its questions pass meanwhile.
// Cause: time in which this process read nothing counts as silence of the server.
test('a question that took far longer than its limit is no evidence', async (t) => {
  const { clock, countAsked, inputs, stop } = setUp(700);
  await clock.advanceAsync(2700);
  t.true(countAsked() >= 3);
  t.is(inputs.length, 0);
  stop();
});

// Symptom: a prompt on a server that fell silent is noticed when the server is back, seconds later.
// Sequence: the kept connection is dead; the next question waits for a connection until its limit.
// Cause: a question that waits for a connection in vain was taken for a standstill of this process.
test('a question that waited for a connection in vain counts', async (t) => {
  const { clock, inputs, stop } = setUp(400);
  await clock.advanceAsync(1300);
  t.is(inputs.length, 1);
  stop();
});
