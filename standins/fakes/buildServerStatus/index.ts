import type { ServerStatus } from '../../../src/domain/forwarding';

/** Builds the status of an idle, unsuspected server, with changes. */
export const buildServerStatus = (
  id: string,
  zone: string,
  change: Partial<ServerStatus> = {},
): ServerStatus => ({
  entry: {
    id,
    service: 's',
    address: `${id}:1`,
    availabilityZone: zone,
    slots: 4,
    isLeaving: false,
    version: 'v1',
    warmupLeftMs: 0,
    bornMs: null,
    sequence: 0,
  },
  running: 0,
  pendingPrefillTokens: 0,
  copies: 0,
  reported: 0,
  reportedAgeMs: Infinity,
  availableMs: Infinity,
  isFull: false,
  isSuspected: false,
  ...change,
});
