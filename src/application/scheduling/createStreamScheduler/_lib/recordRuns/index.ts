import type { ServerPaces } from '../../../../paces';
import type { ScheduleRequest } from '../../../types';
import type { ServerViews } from '../createServerViews';

/** Where runs are recorded. */
export interface RunRecords {
  readonly service: string;
  readonly views: ServerViews;
  readonly paces: Pick<ServerPaces, 'record'>;
}

/** Records the runs that a VM tells as started without a grant, and as ended. */
export const recordRuns = (
  { endedRuns, startedRuns }: Pick<ScheduleRequest, 'endedRuns' | 'startedRuns'>,
  { paces, service, views }: RunRecords,
): void => {
  startedRuns.forEach(({ kvTokens, server }) => {
    views.recordChange(server, { ticket: null, runs: 1, kvTokens, prefillMs: 0 });
  });
  endedRuns.forEach(({ backup, kvTokens, samples, server }) => {
    views.recordChange(server, { ticket: null, runs: -1, kvTokens: -kvTokens, prefillMs: 0 });
    if (backup !== null)
      views.recordChange(backup, { ticket: null, runs: 0, kvTokens: -kvTokens, prefillMs: 0 });
    const incarnation = views.findIncarnation(server);
    if (incarnation !== null)
      samples.forEach((sample) => paces.record({ service, incarnation }, sample));
  });
};
