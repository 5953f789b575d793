import type { AttemptError } from '../../../ports';
import type { ServerDirectory } from '../../types';

/** Records a failed attempt as evidence against its server, if it is any. */
export const recordAttemptFailure = (
  directory: ServerDirectory,
  serverId: string,
  error: AttemptError,
): void => {
  if (error.kind === 'cancelled' || error.connection === 'unseen') return;
  if (error.kind === 'not-started') directory.recordSuspicion(serverId, 'not-connected');
  if (error.kind === 'broken') directory.recordSuspicion(serverId, 'broken');
};
