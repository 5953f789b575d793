import { err, ok, type Result } from 'neverthrow';
import type { GenerationError, GenerationFeed } from '../../../ports';
import type { GenerationRun } from '../../types';
import { buildError } from '../buildError';
import { createNotifier } from '../createNotifier';

const hasUpdate = (run: GenerationRun, offset: number): boolean =>
  run.isEnded() || run.log.readEndOffset() > offset;

/**
 * Attaches a caller to a run and waits for the first token or the end, so that a failure before any
 * token can still be reported by an HTTP status.
 *
 * @param run - Run to follow.
 * @param offset - Offset at which the caller continues.
 * @param signal - Aborted when the caller disconnects.
 * @returns Feed, or the failure; `generation_lost` if no batch starts at the offset.
 */
export const openFeed = async (
  run: GenerationRun,
  offset: number,
  signal: AbortSignal,
): Promise<Result<GenerationFeed, GenerationError>> => {
  const feed = run.attach(offset);
  if (!feed) return err(buildError('generation_lost'));
  run.start();
  const disconnected = createNotifier();
  signal.addEventListener('abort', disconnected.notify, { once: true });
  while (!hasUpdate(run, offset) && !signal.aborted) {
    await Promise.race([run.waitForChange(), disconnected.wait()]);
  }
  signal.removeEventListener('abort', disconnected.notify);
  const failure = run.readFailure();
  if (failure && run.log.readEndOffset() <= offset) {
    feed.detach();
    return err(failure);
  }
  if (!signal.aborted) return ok(feed);
  feed.detach();
  const state = run.readState();
  // No caller can resume the generation, as no cursor was ever sent.
  if (state.offset === 0 && !state.policy.keyed && state.callers === 0) {
    run.dispatch({ kind: 'cancelled' });
  }
  return err(buildError('caller_gone'));
};
