import type { ReaderId } from '../../../../domain/generation';
import { startLoop } from '../../../time';
import type { StreamAttempt, StreamRun } from '../../types';
import { hasHealthyCopy } from '../hasHealthyCopy';
import { migrateRun } from '../migrateRun';
import { hasPromptLeft } from '../hasPromptLeft';

/** Interval between checks of a run's copy. */
const CHECK_INTERVAL_MS = 300;

/** Pause after a migration that failed. */
const MIGRATION_RETRY_MS = 1000;

/**
 * Watches whether a healthy server holds the run's copy, and migrates the run if none does. A stream
 * that may not be resumed, or whose prompt may not be sent again, stays where it is: it could not go
 * on if it were stopped and the copy refused.
 *
 * @returns a function that ends the watch
 */
export const startCopyWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
): (() => void) => {
  const { clock, log, tables } = run.dependencies;
  const { route, service } = run.context;
  if (!route.resumable) return () => undefined;

  /** Checks the copy; resolves with the time until the next check. */
  const checkCopy = async (): Promise<number> => {
    // A run on a trial version falls back to its prompt at the established version: versions do not
    // share KV caches.
    if (run.context.servers.isTrial(attempt.server)) return CHECK_INTERVAL_MS;
    const engine = tables.readCurrent()?.services.get(service)?.engine;
    const isMovable = engine?.supportsKvCopy && attempt.hasDeliveredEvent && hasPromptLeft(run);
    if (!isMovable || hasHealthyCopy(run)) return CHECK_INTERVAL_MS;
    const hasStopped = await migrateRun(run, attempt);
    // The server closes the stream as well; its last events may arrive before that.
    if (hasStopped) run.dispatch({ kind: 'broken', reader });
    return MIGRATION_RETRY_MS;
  };

  return startLoop({
    clock,
    firstDelayMs: CHECK_INTERVAL_MS,
    runStep: checkCopy,
    handleFailure: (reason) => {
      log.error('migration failed unexpectedly', { reason });
      return MIGRATION_RETRY_MS;
    },
  });
};
