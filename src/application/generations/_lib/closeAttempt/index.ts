import type { SlotOutcome } from '../../../ports';
import type { RunContext } from '../../types';

/**
 * Stops reading an attempt and releases its slot.
 *
 * @param context - Run that the attempt belongs to.
 * @param attempt - Number of the attempt; has no effect if the attempt is already closed.
 * @param outcome - Outcome to report for the slot.
 * @param options.cancel - Whether to cancel the stream at the engine as well.
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
