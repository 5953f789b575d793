import test from 'ava';
import { SurvivalMode } from '../../../types';
import { createGenerationState, StreamRetention, updateGeneration } from '../..';
import type { GenerationInput, GenerationState } from '../..';

const apply = (state: GenerationState, inputs: readonly GenerationInput[]): GenerationState =>
  inputs.reduce((current, input) => updateGeneration(current, input).state, state);

const STARTED = apply(
  createGenerationState({
    mode: SurvivalMode.Latency,
    idempotent: true,
    keyed: false,
    continuable: true,
    maxOutputTokens: 9,
    streamRetention: StreamRetention.Kept,
  }),
  [
    { kind: 'caller-attached' },
    { kind: 'started' },
    { kind: 'sending', reader: { attempt: 1, connection: 0 }, backendServer: 'a' },
  ],
);

test('a generation whose only attempt did not start has not run', (t) => {
  const state = apply(STARTED, [
    { kind: 'not-started', reader: { attempt: 1, connection: 0 }, refused: true },
  ]);
  t.false(state.mayHaveStarted);
});

// Guards against `not-run` as the answer to a request that runs: the connection to the first engine
// failed only after a second one had got the request.
test('a generation with another attempt at an engine may have run', (t) => {
  const state = apply(STARTED, [
    { kind: 'silent', reader: { attempt: 1, connection: 0 }, confirmed: false },
    { kind: 'sending', reader: { attempt: 2, connection: 0 }, backendServer: 'b' },
    { kind: 'not-started', reader: { attempt: 1, connection: 0 }, refused: true },
  ]);
  t.deepEqual(
    state.attempts.map(({ backendServer }) => backendServer),
    ['b'],
  );
  t.true(state.mayHaveStarted);
});
