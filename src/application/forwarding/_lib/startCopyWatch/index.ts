import type { ReaderId } from '../../../../domain/generation';
import { startLoop } from '../../../time';
import type { StreamAttempt, StreamRun } from '../../types';
import { hasHealthyCopy } from '../hasHealthyCopy';
import { migrateRun } from '../migrateRun';

/** How often it is looked whether a run still has its copy. */
const LOOK_MS = 300;

/** Pause after a move that could not be made. */
const RETRY_MS = 1000;

/**
 * Watches whether the server that holds a run's copy is still there, and moves the run if not.
 *
 * @returns ends the watch
 */
export const startCopyWatch = (
  run: StreamRun,
  attempt: StreamAttempt,
  reader: ReaderId,
): (() => void) => {
  const { clock, log, tables } = run.dependencies;
  const { service } = run.context;

  /** Returns when to look again. */
  const look = async (): Promise<number> => {
    // What tries a new version goes on at the established one by its prompt: memory is not shared.
    if (run.context.servers.isTrial(attempt.server)) return LOOK_MS;
    const traits = tables.readCurrent()?.services.get(service)?.engine;
    if (!traits?.supportsKvCopy || !attempt.hasDeliveredEvent || hasHealthyCopy(run))
      return LOOK_MS;
    const isStoppedThere = await migrateRun(run, attempt);
    // The server closes the stream as well; its last events may arrive before that.
    if (isStoppedThere) run.dispatch({ kind: 'broken', reader });
    return RETRY_MS;
  };

  return startLoop({
    clock,
    firstDelayMs: LOOK_MS,
    runStep: look,
    handleFailure: (reason) => {
      log.error('move failed unexpectedly', { reason });
      return RETRY_MS;
    },
  });
};
