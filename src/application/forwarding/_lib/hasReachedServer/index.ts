import type { StreamRun } from '../../types';

/** True if an attempt of the stream reached a server, or was sent and may still do so. */
export const hasReachedServer = ({ arrivals, readState }: StreamRun): boolean =>
  arrivals.countSent() > 0 || readState().mayHaveStarted;
