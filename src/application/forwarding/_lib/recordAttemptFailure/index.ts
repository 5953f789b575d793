import type { ConnectionEnd } from '../../../../domain/crashes';
import type { AttemptError } from '../../../ports';
import type { ServerDirectory } from '../../types';

/** Ends of connections that say nothing about the server. */
const NEUTRAL_ENDS: ReadonlySet<ConnectionEnd> = new Set(['out-of-step', 'unseen']);

/** Records a failed attempt as evidence against its server, if it is any. */
export const recordAttemptFailure = (
  directory: ServerDirectory,
  serverId: string,
  error: AttemptError,
): void => {
  if (error.kind === 'cancelled' || NEUTRAL_ENDS.has(error.connection)) return;
  if (error.kind === 'not-started') directory.recordSuspicion(serverId, 'not-connected');
  if (error.kind === 'broken') directory.recordSuspicion(serverId, 'broken');
};
