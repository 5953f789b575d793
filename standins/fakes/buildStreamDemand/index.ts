import type { StreamDemand } from '../../../src/domain/scheduling';

/** Builds a new demand for a long prompt, with changes. */
export const buildStreamDemand = (
  ticket: string,
  change: Partial<StreamDemand> = {},
): StreamDemand => ({
  ticket,
  requestClass: { priority: 0, routePriority: 0 },
  workspace: 'w',
  promptTokens: 8000,
  outputTokens: 1000,
  waitedMs: 0,
  goalLeftMs: 4000,
  leftMs: 25_000,
  isReturning: false,
  isResumed: false,
  availabilityZone: 'za',
  needsBackup: false,
  excludedServers: [],
  versions: [],
  ...change,
});
