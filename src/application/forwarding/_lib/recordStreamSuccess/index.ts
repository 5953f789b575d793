import { formatIncarnation } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** Records a completed stream as proof that its request does not crash servers. */
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
