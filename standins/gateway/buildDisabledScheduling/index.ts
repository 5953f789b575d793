import type { SchedulingFactories } from '../../../src/programs/gateway/types';

/** Builds factories of parts that schedule nothing: each VM decides by itself. */
export const buildDisabledScheduling = (): SchedulingFactories => ({
  createScheduler: () => ({
    handleRequest: () => ({ isOwner: false, decisions: [] }),
    countWaiting: () => 0,
    stop: () => undefined,
  }),
  createClient: () => ({
    requestServer: async () => ({ kind: 'unknown' }),
    recordStarted: () => undefined,
    recordEnded: () => undefined,
    handleDelivery: () => false,
    refuseWaiting: () => undefined,
    countWaiting: () => 0,
    stop: () => undefined,
  }),
  rankSchedulers: () => [],
});
