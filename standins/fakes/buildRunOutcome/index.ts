import type { RunOutcome } from '../../../src/domain/crashes';

/** Builds a confirmed crash of server `i-1` under request `r-1` at time 0, with changes. */
export const buildRunOutcome = (change: Partial<RunOutcome> = {}): RunOutcome => ({
  fingerprint: 'f',
  requestId: 'r-1',
  server: 'i-1',
  hasCrashed: true,
  isConfirmed: true,
  ranMs: 60,
  atMs: 0,
  ...change,
});
