import type { StreamRun } from '../../types';
import { findCopyHolder } from '../findCopyHolder';
import { hasPromptLeft } from '../hasPromptLeft';

/** Why no other server may continue a stream. */
export type ReplacementObstacle = 'not resumable' | 'no server left' | 'no retry left';

/** Options of a reservation. */
export interface ReplacementOptions {
  /** Whether the server of the present attempt answers questions about its state. */
  readonly isServerAnswering: boolean;
  /** False once the present attempt goes on, or has ended: a retry acquired then is given back. */
  readonly isStillNeeded: () => boolean;
}

/**
 * Reserves what a further attempt of a stream needs, before the one that runs is given up: without
 * it the stream would end, while the server of the present one may still go on. The holder of a copy
 * may refuse it: a copy alone is enough only if the present server seems to be gone.
 *
 * @returns why there can be no further attempt now, or null once it is reserved
 */
export const reserveReplacement = async (
  run: StreamRun,
  { isServerAnswering, isStillNeeded }: ReplacementOptions,
): Promise<ReplacementObstacle | null> => {
  const { context, dependencies } = run;
  if (!context.route.resumable) return 'not resumable';
  const hasCopy = !isServerAnswering && findCopyHolder(run) !== null;
  if (!hasPromptLeft(run) && !hasCopy) return 'no server left';
  if (run.reservedRetry) return null;
  const retry = await dependencies.lender.acquireRetry(context.service);
  if (!retry) return 'no retry left';
  if (run.isEnded() || run.reservedRetry || !isStillNeeded()) retry.release();
  else Object.assign(run, { reservedRetry: retry });
  return null;
};
