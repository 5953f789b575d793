import type { AttemptProgress, ConnectionEnd } from '../../../../domain/crashes';
import type { StreamAttempt, StreamRun } from '../../types';
import { logAttemptEnd } from '../logAttemptEnd';

const readProgress = ({ hasDeliveredEvent, headAtMs }: StreamAttempt): AttemptProgress => {
  if (hasDeliveredEvent) return 'events';
  return headAtMs === null ? 'none' : 'head';
};

/** Records how an attempt of a stream ended, as evidence and in the log. */
export const recordStreamEnd = (
  { context, crashes, dependencies }: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
  { isWhole }: { readonly isWhole: boolean } = { isWhole: false },
): void => {
  const { headAtMs, heardSinceMs, relay, sentAtMs, server } = attempt;
  const end = {
    connection,
    relay,
    progress: isWhole ? 'whole' : readProgress(attempt),
    beganAtMs: headAtMs ?? sentAtMs,
    heardSinceMs,
    endedAtMs: dependencies.clock.readMonotonicMs(),
  } as const;
  const evidence = crashes.recordEnd(server, end);
  logAttemptEnd(dependencies, context, server, end, evidence);
};
