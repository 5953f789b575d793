import { countNeededKvTokens } from '../../../../domain/forwarding';
import type { ScheduledRun, StreamPlacement, StreamRun } from '../../types';
import { isRunScheduled } from '../isRunScheduled';

/**
 * Builds what the scheduler is told of an attempt, and tells it of a run that it has not granted.
 *
 * @returns null if the service is not scheduled
 */
export const buildScheduledRun = (
  run: StreamRun,
  { backup, grant, server }: StreamPlacement,
): ScheduledRun | null => {
  if (!isRunScheduled(run)) return null;
  const { context, dependencies } = run;
  const kvTokens = countNeededKvTokens(context.request);
  if (!grant)
    dependencies.scheduler.recordStarted(context.service, { server: server.id, kvTokens });
  return { kvTokens, backup: backup?.id ?? null, grant, eventGapsMs: null, samples: [] };
};
