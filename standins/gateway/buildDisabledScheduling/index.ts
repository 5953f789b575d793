import type { SchedulingFactories } from '../../../src/programs/gateway/types';
import { createInactiveScheduler } from '../../fakes';

/** Builds factories of parts that schedule nothing: each VM decides by itself. */
export const buildDisabledScheduling = (): SchedulingFactories => ({
  createScheduler: () => ({
    handleRequest: () => ({ isOwner: false, decisions: [] }),
    countWaiting: () => 0,
    stop: () => undefined,
  }),
  createClient: createInactiveScheduler,
  rankSchedulers: () => [],
});
