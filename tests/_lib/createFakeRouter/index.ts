import { err, ok } from 'neverthrow';
import type { SlotOutcome } from '../../../src/application/ports';
import type { ServingRouter } from '../../../src/application/routing';
import type { BackendServer, Demand } from '../../../src/domain/types';

/** A router that selects the first server that is not excluded and records each demand. */
export interface FakeRouter extends Pick<ServingRouter, 'acquireSlot' | 'estimateHedgeDelayMs'> {
  readonly demands: Demand[];
  /** Refuses the next demand. */
  refuseNext(): void;
  readonly outcomes: SlotOutcome['outcome'][];
}

/** Creates a router over a fixed list of servers. */
export const createFakeRouter = (servers: readonly BackendServer[]): FakeRouter => {
  const demands: Demand[] = [];
  let refusesNext = false;
  const outcomes: SlotOutcome['outcome'][] = [];
  return {
    estimateHedgeDelayMs: () => 50,
    refuseNext: () => {
      refusesNext = true;
    },
    demands,
    outcomes,
    acquireSlot: async (demand) => {
      demands.push(demand);
      const server = servers.find(({ name }) => !demand.excludedServers.includes(name));
      const isRefused = refusesNext || server === undefined;
      refusesNext = false;
      if (isRefused) {
        return err({ code: 'no_ready_server', message: 'none left', retryAfterMs: 1000 });
      }
      const release = ({ outcome }: SlotOutcome): void => {
        outcomes.push(outcome);
      };
      return ok({ server, priority: 0, release });
    },
  };
};
