import type { LoadReport } from '../../types';

/**
 * By how much a report with a lower sequence must have been taken later to count as one of a
 * restarted server. Above the error of the ages that peers pass on (one exchange, about 1 s).
 */
const RESTART_MARGIN_MS = 1500;

/**
 * Tells whether a report is newer than the one held.
 *
 * The same report may come again, or an older one later, through a peer. A restarted server counts
 * its reports from the start again: a lower sequence is taken if it was sampled clearly later,
 * else the reports of the new process would be ignored until it has sent as many as the old one.
 *
 * @param report - the report that came
 * @param held - the report held, or null
 */
export function isNewerReport(report: LoadReport, held: LoadReport | null): boolean {
  if (held === null || report.sequence > held.sequence) return true;
  const sampledMs = report.receivedAtMs - report.ageMs;
  const heldSampledMs = held.receivedAtMs - held.ageMs;
  return report.sequence < held.sequence && sampledMs > heldSampledMs + RESTART_MARGIN_MS;
}
