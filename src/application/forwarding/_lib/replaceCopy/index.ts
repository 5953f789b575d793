import type { ServerEntry } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Replaces the run's copy by the one that its backup server receives from now on. */
export const replaceCopy = (run: StreamRun, backup: ServerEntry | null): void => {
  run.copy?.release();
  const copy = backup && {
    address: backup.address,
    handle: run.context.request.requestId,
    holders: [backup.id],
    hasData: false,
    release: run.dependencies.directory.addCopy(backup.id),
  };
  Object.assign(run, { copy });
};
