import type { ReportedServer, ServerStatus } from '../../../../domain/forwarding';
import type { StreamRun } from '../../types';

/** A server that was asked, and what it said of itself; what is on its way is added at the choice. */
export type RespondingServer = Omit<ReportedServer, 'pendingPrefillTokens'>;

/**
 * Time that the others get once a server has answered: sound ones take some milliseconds, and those
 * that fell silent would hold up every prompt until their questions time out (150 ms).
 */
const OTHERS_MS = 25;

/**
 * Asks some servers what they do, just before a prompt is sent to one of them: loads that are known
 * from earlier answers are old, and a server that fell silent is still listed for seconds.
 *
 * @returns those that answered at once; at least one, unless all fail
 */
export const queryServers = (
  run: StreamRun,
  candidates: readonly ServerStatus[],
): Promise<readonly RespondingServer[]> =>
  new Promise((resolve) => {
    const { client, clock, directory, limits } = run.dependencies;
    const answers: RespondingServer[] = [];
    let left = candidates.length;
    let cancelTimer: (() => void) | null = null;
    const end = (): void => {
      cancelTimer?.();
      resolve([...answers]);
    };
    if (left === 0) end();
    candidates.forEach(async ({ copies, entry }) => {
      const sentAtMs = clock.readMonotonicMs();
      const report = await client.readReport(entry);
      left -= 1;
      if (report) {
        directory.recordStartTime(entry.id, report.bornMs);
        const { limitPerS } = report;
        if (limitPerS !== null) limits.recordAdvertisedLimit(entry.id, { limitPerS, sentAtMs });
        if (report.isLeaving) directory.recordLeaving(entry.id);
        else answers.push({ entry, report, copies });
      } else directory.recordSuspicion(entry.id, 'silent');
      if (left === 0) end();
      else if (report) cancelTimer ??= clock.startTimer(OTHERS_MS, end);
    });
  });
