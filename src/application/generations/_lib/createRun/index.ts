import {
  updateGeneration,
  type GenerationEffect,
  type GenerationInput,
  type GenerationState,
} from '../../../../domain/generation';
import { RunState } from '../../../../domain/types';
import type { GenerationError } from '../../../ports';
import type { AttemptHandle, GenerationRun, RunContext } from '../../types';
import { buildAnswer } from '../buildAnswer';
import { closeAttempt } from '../closeAttempt';
import { createFeed } from '../createFeed';
import { createInputQueue } from '../../../_lib/createInputQueue';
import { createNotifier } from '../createNotifier';
import { recordEngineOutcome } from '../recordEngineOutcome';
import { runEffect, type AttemptEffect } from '../runEffect';

/** The part of a run's context that its creator provides. */
export type RunOptions = Omit<RunContext, 'handles' | 'readState' | 'dispatch'>;

/**
 * Creates a run, which owns the state of one generation. Each input is applied by a pure state
 * transition, whose effects are executed in order before the next input is handled.
 *
 * @param options - Part of the context that the caller provides.
 * @param firstState - Initial state.
 * @param existingAttempt - Handle of the attempt whose stream is taken over, if any.
 * @returns Run that waits for its `started` input.
 */
export const createRun = (
  options: RunOptions,
  firstState: GenerationState,
  existingAttempt: AttemptHandle | null = null,
): GenerationRun => {
  const { clock } = options.dependencies;
  const { log } = options;
  const notifier = createNotifier();
  const handles = new Map<number, AttemptHandle>(
    existingAttempt ? [[existingAttempt.attempt, existingAttempt]] : [],
  );
  const queue = createInputQueue<GenerationInput>();
  let state = firstState;
  let failure: GenerationError | null = null;
  let lastDelivering: AttemptHandle | null = existingAttempt;
  let idleSinceMs: number | null = clock.readMonotonicMs();
  let retryAtMs: number | null = null;
  let hasStarted = false;

  const context: RunContext = {
    ...options,
    handles,
    readState: () => state,
    dispatch: queue.push,
  };

  const isEnded = (): boolean => state.phase === 'finished' || state.phase === 'failed';

  const deliver = (effect: Extract<GenerationEffect, { kind: 'deliver' }>): void => {
    // Streams of engines that number events instead of tokens are forwarded, never read by a run.
    if (!('tokenIds' in effect.batch)) return;
    log.append(effect.batch);
    lastDelivering = handles.get(effect.attempt) ?? lastDelivering;
    if (effect.batch.finishReason !== null) {
      closeAttempt(context, effect.attempt, 'finished', { cancel: false });
    }
  };

  const finish = (finishReason: string): void => {
    const offset = log.readEndOffset();
    const isMarked = log.readFinishReason() !== null;
    if (!isMarked) log.append({ offset, tokenIds: [], text: '', finishReason });
    options.claim.writer?.recordOutcome(buildAnswer(context), { ran: true });
  };

  const fail = (error: GenerationError): void => {
    failure = error;
    options.claim.writer?.recordOutcome(null, { ran: error.runState !== RunState.NotRun });
  };

  const handleEffect = (effect: GenerationEffect): void => {
    if (effect.kind === 'deliver') deliver(effect);
    else if (effect.kind === 'finish') finish(effect.finishReason);
    else if (effect.kind === 'fail') fail(effect.failure);
    else if (effect.kind === 'retry-later') retryAtMs = clock.readMonotonicMs() + effect.delayMs;
    else runEffect(context, effect satisfies AttemptEffect);
  };

  const handleInput = (input: GenerationInput): void => {
    if (input.kind === 'retry-due') retryAtMs = null;
    const earlier = state;
    const next = updateGeneration(state, input);
    state = next.state;
    recordEngineOutcome(context, earlier, input);
    next.effects.forEach(handleEffect);
    const isFollowed = state.callers > 0 && !isEnded();
    if (isFollowed) idleSinceMs = null;
    else idleSinceMs ??= clock.readMonotonicMs();
    if (next.effects.length > 0 || input.kind === 'caller-left') notifier.notify();
  };

  queue.setHandler(handleInput);

  const run: GenerationRun = {
    generationId: options.generationId,
    workspace: options.workspace,
    service: options.service,
    request: options.request,
    deadlineMs: options.deadlineMs,
    log,
    attempts: handles,
    readState: () => state,
    readFailure: () => failure,
    readLastDeliveringAttempt: () => lastDelivering,
    setClaimWriter: (writer) => Object.assign(options.claim, { writer }),
    isEnded,
    readIdleSinceMs: () => idleSinceMs,
    readRetryAtMs: () => retryAtMs,
    start: () => {
      if (!hasStarted) queue.push({ kind: 'started' });
      hasStarted = true;
    },
    dispatch: queue.push,
    waitForChange: notifier.wait,
    attach: (offset) => {
      const batchIndex = log.findBatch(offset);
      const chain = log.computeChainAt(offset);
      if (batchIndex === null || chain === null) return null;
      return createFeed(run, { vm: options.dependencies.vm, batchIndex, offset, chain });
    },
  };
  return run;
};
