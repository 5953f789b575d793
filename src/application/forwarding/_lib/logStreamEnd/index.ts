import type { AttemptEnd, ConnectionEnd } from '../../../../domain/crashes';
import type { StreamAttempt, StreamRun } from '../../types';
import { logAttemptEnd } from '../logAttemptEnd';

const readProgress = ({ hasDeliveredEvent, headAtMs }: StreamAttempt): AttemptEnd['progress'] => {
  if (hasDeliveredEvent) return 'events';
  return headAtMs === null ? 'none' : 'head';
};

/** Logs and counts how an attempt of a stream ended. */
export const logStreamEnd = (
  { context, dependencies }: StreamRun,
  attempt: StreamAttempt,
  connection: ConnectionEnd,
  evidence: string,
): void => {
  const { headAtMs, relay, sentAtMs, server } = attempt;
  const end = {
    connection,
    relay,
    progress: readProgress(attempt),
    beganAtMs: headAtMs ?? sentAtMs,
    endedAtMs: dependencies.clock.readMonotonicMs(),
  };
  logAttemptEnd(dependencies, context, server, end, evidence);
};
