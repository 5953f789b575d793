import type { Reader } from '../../../../domain/generation';
import { startLoop } from '../../../time';
import type { StreamAttempt, StreamRun } from '../../types';
import { hasHealthyCopy } from '../hasHealthyCopy';
import { migrateRun } from '../migrateRun';

/** How often it is looked whether a run still has its copy. */
const CHECK_INTERVAL_MS = 300;

/** Pause after a move that could not be made. */
const MIGRATION_RETRY_MS = 1000;

/**
 * Watches whether the server that holds a run's copy is still there, and moves the run if not.
 *
 * @returns ends the watch
 */
export const startCopyWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: Reader,
): (() => void) => {
  const { clock, log, tables } = run.dependencies;
  const { service } = run.context;

  /** Returns when to look again. */
  const checkCopy = async (): Promise<number> => {
    // What tries a new version goes on at the established one by its prompt: memory is not shared.
    if (run.context.servers.isTrial(attempt.server)) return CHECK_INTERVAL_MS;
    const engine = tables.readCurrent()?.services.get(service)?.engine;
    if (!engine?.copiesRuns || !attempt.hasDeliveredEvent || hasHealthyCopy(run))
      return CHECK_INTERVAL_MS;
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
      log.error('move failed unexpectedly', { reason });
      return MIGRATION_RETRY_MS;
    },
  });
};
