import { formatIncarnation } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Takes a stream's end as proof that its request does not end the servers that run it. */
export const recordStreamSuccess = ({
  attempts,
  context,
  dependencies,
  fingerprint,
}: StreamRun): void => {
  const newest = [...attempts.values()].at(-1);
  if (!newest || !dependencies.crashes.isSuspected(fingerprint)) return;
  dependencies.crashes.recordOutcome({
    fingerprint,
    requestId: context.request.requestId,
    server: formatIncarnation(newest.server),
    hasCrashed: false,
  });
};
