import type { LoadReport } from '../../types';
import { computeNameId } from '../computeNameId';
import type { LoadFact, ServerStateFact } from '../types';

const PERMILLE = 1_000;

/**
 * Splits a load report into the fields that seldom change and the fields that change continuously.
 *
 * @param report - report held by this VM
 * @param nowMs - monotonic time of this VM, in milliseconds
 */
export const convertReportToFacts = (
  report: LoadReport,
  nowMs: number,
): { readonly state: ServerStateFact; readonly load: LoadFact } => ({
  state: {
    kind: 'server-state',
    backendServer: report.backendServer,
    slots: report.slots,
    models: report.models,
    role: report.role,
    leaving: report.leaving,
    fencingToken: report.fencingToken,
  },
  load: {
    kind: 'load',
    id: computeNameId(report.backendServer),
    sequence: report.sequence,
    running: report.running,
    waiting: report.waiting,
    cacheUsePermille: Math.round(report.cacheUse * PERMILLE),
    tokensPerSecond: Math.round(report.tokensPerSecond),
    ageMs: Math.max(0, Math.round(report.ageMs + nowMs - report.receivedAtMs)),
  },
});
