import type { AttemptEnd, ConnectionEnd } from '../../../../domain/crashes';
import type { AttemptArrival } from '../../createRequestArrivals';

/** Ends that this VM brought about, or did not see: the server may read the request later. */
const UNREAD_ENDS: ReadonlySet<ConnectionEnd> = new Set(['silent', 'dropped', 'unseen']);

/** Records whether the server has read an attempt that was sent, by how it ended. */
export const recordArrival = (
  arrival: AttemptArrival,
  server: string,
  { connection, progress, relay }: Pick<AttemptEnd, 'connection' | 'progress' | 'relay'>,
): void => {
  if (connection === 'unsent') arrival.recordUnsent();
  else if (progress === 'none' && UNREAD_ENDS.has(connection))
    arrival.recordGivenUp({ server, relay });
  else arrival.recordRead();
};
