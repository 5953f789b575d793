import type { SchedulerClient } from '../../../src/application/scheduling';

/** Creates a scheduler client that decides nothing: each VM places its streams by itself. */
export const createInactiveScheduler = (): SchedulerClient => ({
  requestServer: async () => ({ kind: 'unknown' }),
  recordStarted: () => undefined,
  recordEnded: () => undefined,
  handleDelivery: () => false,
  refuseWaiting: () => undefined,
  countWaiting: () => 0,
  stop: () => undefined,
});
