import test from 'ava';
import fc from 'fast-check';
import {
  StreamRetention,
  createGenerationState,
  updateGeneration,
  type GenerationEffect,
  type GenerationInput,
  type GenerationState,
} from '../../src/domain/generation';
import { SurvivalMode } from '../../src/domain/types';

const POLICY = {
  mode: SurvivalMode.Latency,
  idempotent: true,
  keyed: false,
  continuable: true,
  maxOutputTokens: Infinity,
  streamRetention: StreamRetention.Dropped,
} as const;

/** What may happen next to the newest attempt. */
const STEPS = ['event', 'broken', 'suspected', 'silent', 'not-started', 'retry-due'] as const;

const buildInput = (step: (typeof STEPS)[number], state: GenerationState): GenerationInput => {
  const reader = { attempt: state.newestAttempt, connection: 0 };
  const inputs: Readonly<Record<(typeof STEPS)[number], GenerationInput>> = {
    event: {
      kind: 'batch',
      reader,
      batch: { offset: state.offset, eventCount: 1, bytes: Buffer.from('e'), finishReason: null },
    },
    broken: { kind: 'broken', reader },
    suspected: { kind: 'silent', reader, confirmed: false },
    silent: { kind: 'silent', reader, confirmed: true },
    'not-started': { kind: 'not-started', reader, refused: false },
    'retry-due': { kind: 'retry-due' },
  };
  return inputs[step];
};

// Guards against two servers that work on one request at the same time: where a run ends with its
// connection only, an attempt is opened before the other is closed.
test('where runs end with their connection, an attempt is closed before the next is opened', (t) => {
  fc.assert(
    fc.property(fc.array(fc.constantFrom(...STEPS), { maxLength: 40 }), (steps) => {
      const open = new Set<number>();
      let state = createGenerationState(POLICY);
      const take = (input: GenerationInput): void => {
        const next = updateGeneration(state, input);
        state = next.state;
        next.effects.forEach((effect: GenerationEffect) => {
          if (effect.kind === 'cancel-attempt') open.delete(effect.attempt);
          if (effect.kind === 'open-attempt') open.add(effect.reader.attempt);
          t.not(effect.kind, 'resume-stream');
          t.true(open.size <= 1);
        });
      };
      take({ kind: 'caller-attached' });
      take({ kind: 'started' });
      steps.forEach((step) => {
        take(buildInput(step, state));
        const [attempt] = state.attempts;
        if (attempt?.phase !== 'opening') return;
        const reader = { attempt: attempt.attempt, connection: 0 };
        take({ kind: 'sending', reader, backendServer: `server-${attempt.attempt}` });
      });
    }),
  );
});

test('events are delivered one after the other, none twice and none left out', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ min: -2, max: 2 }), { maxLength: 30 }), (jumps) => {
      let state = createGenerationState(POLICY);
      const delivered: number[] = [];
      const take = (input: GenerationInput): void => {
        const next = updateGeneration(state, input);
        state = next.state;
        next.effects.forEach((effect) => {
          if (effect.kind === 'deliver') delivered.push(effect.batch.offset);
        });
      };
      take({ kind: 'caller-attached' });
      take({ kind: 'started' });
      jumps.forEach((jump) => {
        const reader = { attempt: state.newestAttempt, connection: 0 };
        take({ kind: 'sending', reader, backendServer: 's' });
        const offset = state.offset + jump;
        const batch = {
          offset,
          eventCount: 1,
          bytes: Buffer.from('e'),
          finishReason: null,
        } as const;
        take({ kind: 'batch', reader, batch });
      });
      t.deepEqual(
        delivered,
        delivered.map((_, index) => index),
      );
    }),
  );
});
