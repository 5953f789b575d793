import { err, ok, type Result } from 'neverthrow';
import type { GenerationError, GenerationFeed } from '../../../ports';
import type { GenerationRun } from '../../types';
import { buildError } from '../buildError';
import { createNotifier } from '../createNotifier';

const hasUpdate = (run: GenerationRun, offset: number): boolean =>
  run.isEnded() || run.log.readEndOffset() > offset;

/**
 * Attaches a caller to a run and waits for its first news, so that a failure before any token can
 * still be told by an HTTP status.
 *
 * @param run - Run to follow.
 * @param offset - Offset at which the caller goes on.
 * @param signal - Aborted when the caller goes away.
 * @returns Feed, or the failure; `generation_lost` if no batch begins at the offset.
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
  // Nobody can come back to it, as no cursor was ever given out.
  if (state.offset === 0 && !state.policy.keyed && state.callers === 0) {
    run.dispatch({ kind: 'cancelled' });
  }
  return err(buildError('caller_gone'));
};
