import type { HeldCopy, StreamRun } from '../../types';

/**
 * Releases the copies after an attempt that did not run. The attempt made no copy of its own, and
 * the copy that it should have continued from is kept only if another server holds it too.
 *
 * @param used - copy that the attempt was sent with, if any
 * @param triedId - id of the server that did not run the attempt
 */
export const releaseCopy = (run: StreamRun, used: HeldCopy | null, triedId: string): void => {
  run.copy?.release();
  const [first, ...others] = (used?.holders ?? []).filter((id) => id !== triedId);
  const copy: HeldCopy | null =
    used && first !== undefined
      ? { ...used, holders: [first, ...others], release: run.dependencies.directory.addCopy(first) }
      : null;
  Object.assign(run, { copy });
};
