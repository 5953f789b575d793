import test from 'ava';
import type { GenerationInput } from '../../../../domain/generation';
import type { StreamRun } from '../../types';
import { recallWaitingAttempts } from '.';

/** Recalls the attempt of a stream that waits at its server; returns what the stream is told. */
const recall = (route: object): readonly GenerationInput[] => {
  const inputs: GenerationInput[] = [];
  const run = {
    crashes: { findCause: () => ({ isCertain: false, remainingMs: 1000 }) },
    isTrial: false,
    context: { route },
    copy: null,
    prefillAttempts: 1,
    readState: () => ({ attempts: [{ attempt: 1, connection: 0 }] }),
    attempts: new Map([[1, { headAtMs: null }]]),
    dispatch: (input: GenerationInput) => inputs.push(input),
  } as unknown as StreamRun;
  recallWaitingAttempts(run);
  return inputs;
};

test('a stream that may be sent again is called back', (t) => {
  t.is(recall({ resumable: true, maxAttempts: 2 }).length, 1);
});

// Guards against streams that fail because others lost their servers, though nothing could continue these.
test('a stream that may not be sent again is not called back', (t) => {
  t.is(recall({ resumable: false, maxAttempts: 2 }).length, 0);
  t.is(recall({ resumable: true, maxAttempts: 1 }).length, 0);
});
