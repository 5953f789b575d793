import type { CrashCause } from '../../../crashes';
import type { StreamRun } from '../../types';
import { hasReachedServer } from '../hasReachedServer';
import { buildQuarantineRefusal } from '../buildQuarantineRefusal';
import { logDecision } from '../logDecision';

/** Refuses a stream because its request, or a part of its prompt, crashed servers. */
export const refuseForCrashes = (run: StreamRun, cause: CrashCause): void => {
  const { context, crashes, dependencies } = run;
  const hasArrived = hasReachedServer(run);
  logDecision(dependencies, context, 'request in quarantine', {
    ...crashes.readLogFields(),
    cause: cause.kind,
    isCertain: cause.isCertain,
    responsible: cause.fingerprints.join(' '),
    crashes: cause.crashes,
    quarantineMs: Math.round(cause.remainingMs),
    hasArrived,
  });
  dependencies.meter.recordCrashRefusal(cause.kind);
  run.refuse(buildQuarantineRefusal({ hasArrived, cause }));
};
