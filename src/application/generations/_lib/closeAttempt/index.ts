import type { SlotOutcome } from '../../../ports';
import type { RunContext } from '../../types';

/**
 * Stops reading an attempt and gives its slot back.
 *
 * @param context - Run that it belongs to.
 * @param attempt - Number of the attempt; one that is closed already is left alone.
 * @param outcome - How the use of its slot ended.
 * @param options.cancel - Also stop it at its engine.
 */
export const closeAttempt = (
  context: RunContext,
  attempt: number,
  outcome: SlotOutcome['outcome'],
  options: { readonly cancel: boolean },
): void => {
  const handle = context.handles.get(attempt);
  if (!handle) return;
  context.handles.delete(attempt);
  handle.abort.abort();
  handle.stream?.detach();
  handle.slot?.release({
    outcome: handle.isAtEngine ? outcome : 'not-started',
    firstTokenMs: handle.firstTokenMs,
    outputTokens: handle.deliveredTokens,
  });
  if (options.cancel && handle.isAtEngine && handle.server) {
    context.cancelQueue.cancel(handle.server, handle.streamId);
  }
};
