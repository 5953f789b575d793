import type { StreamRun } from '../../types';
import { hasPromptLeft } from '../hasPromptLeft';

/**
 * Calls back the attempts of a stream that have not begun at their servers, while it is not known
 * why servers were lost under its request. The stream waits; it is sent again if it may be.
 */
export const recallWaitingAttempts = (run: StreamRun): void => {
  const cause = run.crashes.findCause();
  if (!cause || cause.isCertain || cause.remainingMs === 0) return;
  // A stream that may not be resumed, or whose prompt may not be sent again, would be lost.
  if (run.isTrial || !run.context.route.resumable || !hasPromptLeft(run)) return;
  run.readState().attempts.forEach(({ attempt, connection }) => {
    if (run.attempts.get(attempt)?.headAtMs !== null) return;
    run.dispatch({ kind: 'broken', reader: { attempt, connection } });
  });
};
