import type { ServerEntry, ServerReport } from '../../../../../domain/forwarding';
import type { Clock, ForwardClient, Randomness } from '../../../../ports';

/** What a poller needs. */
export interface ReportPollerDependencies {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly readReport: ForwardClient['readReport'];
  /** Called with the report of a server; null if it did not answer. */
  readonly handleReport: (server: ServerEntry, report: ServerReport | null) => void;
}

/** Reads the servers' reports at a steady rate. */
export interface ReportPoller {
  /** Reads the reports that are due. */
  pollDue(servers: readonly ServerEntry[]): void;
}

/** Time between two reports of a server. */
const POLL_INTERVAL_MS = 500;

/**
 * Creates a poller that has at most one call under way to each server.
 *
 * Servers that are new, or were not polled for a while, are polled at once; the polls that follow
 * are spread over the interval.
 */
export const createReportPoller = ({
  clock,
  handleReport,
  randomness,
  readReport,
}: ReportPollerDependencies): ReportPoller => {
  const nextAtMsById = new Map<string, number>();
  const pending = new Set<string>();

  const poll = async (server: ServerEntry): Promise<void> => {
    pending.add(server.id);
    const report = await readReport(server).catch(() => null);
    pending.delete(server.id);
    handleReport(server, report);
  };

  return {
    pollDue: (servers) => {
      const nowMs = clock.readMonotonicMs();
      const ids = new Set(servers.map(({ id }) => id));
      [...nextAtMsById.keys()]
        .filter((id) => !ids.has(id))
        .forEach((id) => nextAtMsById.delete(id));
      servers.forEach((server) => {
        const dueAtMs = nextAtMsById.get(server.id) ?? -Infinity;
        if (dueAtMs > nowMs || pending.has(server.id)) return;
        const isBehind = nowMs - dueAtMs > POLL_INTERVAL_MS;
        const delayMs = POLL_INTERVAL_MS * (isBehind ? 0.5 + randomness.readFraction() : 1);
        nextAtMsById.set(server.id, (isBehind ? nowMs : dueAtMs) + delayMs);
        poll(server);
      });
    },
  };
};
