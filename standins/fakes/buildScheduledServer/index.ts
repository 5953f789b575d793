import type { ScheduledServer } from '../../../src/domain/scheduling';

/** Builds an idle server as the scheduler sees it, with changes. */
export const buildScheduledServer = (
  id: string,
  change: Partial<ScheduledServer> = {},
): ScheduledServer => ({
  id,
  availabilityZone: 'za',
  version: 'v1',
  slots: 12,
  isUsable: true,
  runs: 0,
  kvUsedTokens: 0,
  kvTotalTokens: 88_000,
  pendingPrefillMs: 0,
  pace: { prefillMsPerToken: 0.125, decodeMsPerToken: 5, callMs: 0, workFactor: 1 },
  ...change,
});
