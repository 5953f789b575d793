import type { LoadReport } from '../../types';

/**
 * Least time by which a report with a lower sequence number must be newer to count as that of a
 * restarted server. Exceeds the error of the ages that peers report (one exchange, about 1 s).
 */
const RESTART_MARGIN_MS = 1500;

/**
 * Tells whether a received report is newer than the stored one.
 *
 * Peers may deliver duplicates and older reports. A restarted server restarts its sequence numbers:
 * a lower number counts as newer if its report was sampled clearly later. Otherwise the reports of
 * the new process would be ignored until it has sent as many as the old one.
 *
 * @param report - the received report
 * @param held - the stored report, or null
 */
export function isNewerReport(report: LoadReport, held: LoadReport | null): boolean {
  if (held === null || report.sequence > held.sequence) return true;
  const sampledMs = report.receivedAtMs - report.ageMs;
  const heldSampledMs = held.receivedAtMs - held.ageMs;
  return report.sequence < held.sequence && sampledMs > heldSampledMs + RESTART_MARGIN_MS;
}
