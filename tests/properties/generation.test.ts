import test from 'ava';
import fc from 'fast-check';
import { updateGeneration, type GenerationPolicy } from '../../src/domain/generation';
import { SurvivalMode } from '../../src/domain/types';
import { createGenerationWorld, WORLD_ACTIONS } from './support/createGenerationWorld';

const OPTIONS = { seed: 20261202, numRuns: 2000 };

const policies = fc.record({
  mode: fc.constantFrom(...Object.values(SurvivalMode)),
  idempotent: fc.boolean(),
  keyed: fc.boolean(),
  continuable: fc.constant(true),
  maxOutputTokens: fc.integer({ min: 4, max: 40 }),
});

const step = (actions: readonly (typeof WORLD_ACTIONS)[number][]) =>
  fc.record({
    action: fc.constantFrom(...actions),
    pick: fc.nat({ max: 6 }),
    size: fc.integer({ min: 0, max: 3 }),
  });

// Tokens and slots are the usual case; without weight on them most histories never get anywhere.
const histories = fc.array(
  fc.oneof(
    { weight: 1, arbitrary: step(WORLD_ACTIONS) },
    { weight: 1, arbitrary: step(['grant', 'emit']) },
  ),
  { maxLength: 60 },
);

const check = (update?: typeof updateGeneration) =>
  fc.check(
    fc.property(policies, histories, (policy: GenerationPolicy, history) => {
      const world = createGenerationWorld(policy, update);
      history.forEach(world.run);
      const phase = world.settle();
      const endsClearly = phase === 'finished' || phase === 'failed';
      const runsOnce = policy.idempotent || world.countSent() <= 1;
      return world.faults.length === 0 && endsClearly && runsOnce;
    }),
    OPTIONS,
  );

// Guards against text that changes in mid-answer, or a token that comes twice, in any order of
// losses, returns, late tokens, refusals and reconnects: a second run's token is let in, or
// non-idempotent work runs again.
test('each token of one generation comes once, or the end is clear', (t) => {
  const { failed, counterexample } = check();
  t.false(failed, JSON.stringify(counterexample));
});

// Shows that the property above can fail: without the check of the attempt it finds text of two attempts.
test('the property finds the bug of a missing attempt check', (t) => {
  const { failed } = check((state, input) => {
    const [live] = state.attempts;
    return updateGeneration(
      state,
      input.kind === 'batch' && live ? { ...input, reader: live } : input,
    );
  });
  t.true(failed);
});
