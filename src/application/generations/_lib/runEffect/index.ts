import type { GenerationEffect } from '../../../../domain/generation';
import type { RunContext } from '../../types';
import { closeAttempt } from '../closeAttempt';
import { recordResume } from '../recordResume';
import { recordSuspicion } from '../recordSuspicion';
import { resumeStream } from '../resumeStream';
import { startAttempt } from '../startAttempt';

/** Effects that concern attempts; the run itself handles the others. */
export type AttemptEffect = Extract<
  GenerationEffect,
  {
    kind: 'open-attempt' | 'resume-stream' | 'cancel-attempt' | 'detach-attempt' | 'suspect-server';
  }
>;

type Runners = {
  readonly [Kind in AttemptEffect['kind']]: (
    context: RunContext,
    effect: Extract<AttemptEffect, { kind: Kind }>,
  ) => void;
};

/** Fails an attempt on an unexpected error, so that its generation does not wait forever. */
const handleDefects = (
  context: RunContext,
  reader: { readonly attempt: number; readonly connection: number },
  work: Promise<void>,
): void => {
  work.catch((error: unknown) => {
    const reason = error instanceof Error ? error.message : 'unknown';
    context.dependencies.eventLog.error('attempt failed unexpectedly', { reason });
    context.dispatch({ kind: 'broken', reader });
  });
};

const RUNNERS: Runners = {
  'open-attempt': (context, effect) => {
    if (effect.purpose !== 'start') recordResume(context, effect.purpose);
    handleDefects(context, effect.reader, startAttempt(context, effect));
  },
  'resume-stream': (context, effect) => {
    recordResume(context, 'same stream');
    handleDefects(context, effect.reader, resumeStream(context, effect));
  },
  'cancel-attempt': (context, { attempt }) =>
    closeAttempt(context, attempt, 'failed', { cancel: true }),
  'detach-attempt': (context, { attempt }) =>
    closeAttempt(context, attempt, 'cancelled', { cancel: false }),
  'suspect-server': recordSuspicion,
};

/**
 * Starts one effect on the attempts of a run and returns without waiting for it.
 *
 * @param context - Run that the effect belongs to.
 * @param effect - Effect to run.
 */
export const runEffect = (context: RunContext, effect: AttemptEffect): void => {
  const run = RUNNERS[effect.kind] as (of: RunContext, what: AttemptEffect) => void;
  run(context, effect);
};
