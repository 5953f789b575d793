import type { HeldCopy, StreamRun } from '../../types';

/**
 * Gives up the copy of an attempt that did not run: nothing was copied by it, and the copy that it
 * was to go on from is only left where another server holds it as well.
 *
 * @param used - copy that the attempt was sent with, if any
 * @param triedId - server that did not run it
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
