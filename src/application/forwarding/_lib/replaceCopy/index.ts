import type { ServerEntry } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Takes the server that a run is copied to from now on for the copy to go on from. */
export const replaceCopy = (run: StreamRun, backup: ServerEntry | null): void => {
  run.copy?.release();
  const copy = backup && {
    address: backup.address,
    handle: run.context.request.requestId,
    holders: [backup.id],
    hasBegun: false,
    release: run.dependencies.directory.addCopy(backup.id),
  };
  Object.assign(run, { copy });
};
