import type { AttemptError } from '../../../ports';
import type { ServerDirectory } from '../../types';

/** Takes the failure of an attempt as evidence about its server, where it is some. */
export const recordAttemptFailure = (
  directory: ServerDirectory,
  serverId: string,
  error: AttemptError,
): void => {
  if (error.kind === 'not-started') directory.recordSuspicion(serverId, 'not-connected');
  if (error.kind === 'broken') directory.recordSuspicion(serverId, 'broken');
};
