import type { ReportedServer, ServerStatus } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';
import { recordWorkFactor } from '../recordWorkFactor';

/** A queried server and its report. Unread tokens are added when a server is picked. */
export type RespondingServer = Omit<ReportedServer, 'pendingPrefillTokens'>;

/**
 * Time that other servers get after the first response. Healthy servers take some milliseconds,
 * while silent ones would delay every prompt until their queries time out (150 ms).
 */
const STRAGGLER_WAIT_MS = 25;

/**
 * Queries the reports of some servers just before a prompt is sent to one of them. Loads known from
 * earlier responses are outdated, and a server that fell silent stays listed for seconds.
 *
 * @returns the servers that responded in time; at least one, unless all fail
 */
export const queryServers = (
  run: StreamRun,
  candidates: readonly ServerStatus[],
): Promise<readonly RespondingServer[]> =>
  new Promise((resolve) => {
    const { client, clock, directory, limits, serverPaces } = run.dependencies;
    const responding: RespondingServer[] = [];
    let pending = candidates.length;
    let cancelTimer: (() => void) | null = null;
    const finish = (): void => {
      cancelTimer?.();
      resolve([...responding]);
    };
    if (pending === 0) finish();
    candidates.forEach(async ({ copies, entry }) => {
      const sentAtMs = clock.readMonotonicMs();
      const report = await client.readReport(entry);
      pending -= 1;
      if (report) {
        directory.recordStartTime(entry.id, report.bornMs);
        const { limitPerS, load, maxRejectionsPerS } = report;
        recordWorkFactor(serverPaces, entry, load);
        if (limitPerS !== null || maxRejectionsPerS !== null) {
          limits.recordAdvertisedLimit(entry.id, { limitPerS, maxRejectionsPerS, sentAtMs });
        }
        if (report.isLeaving) directory.recordLeaving(entry.id);
        else responding.push({ entry, report, copies });
      } else directory.recordSuspicion(entry.id, 'silent');
      if (pending === 0) finish();
      else if (report) cancelTimer ??= clock.startTimer(STRAGGLER_WAIT_MS, finish);
    });
  });
