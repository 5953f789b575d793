import { err, ok } from 'neverthrow';
import type { Router, SlotOutcome } from '../../../src/application/ports';
import type { BackendServer, Demand } from '../../../src/domain/types';

/** A router that gives the first server that is not excluded, and notes what it was asked. */
export interface FakeRouter extends Router {
  readonly demands: Demand[];
  readonly outcomes: SlotOutcome['outcome'][];
}

/** Creates a router over a fixed list of servers. */
export const createFakeRouter = (servers: readonly BackendServer[]): FakeRouter => {
  const demands: Demand[] = [];
  const outcomes: SlotOutcome['outcome'][] = [];
  return {
    demands,
    outcomes,
    acquireSlot: async (demand) => {
      demands.push(demand);
      const server = servers.find(({ name }) => !demand.excludedServers.includes(name));
      if (server === undefined) {
        return err({ code: 'no_ready_server', message: 'none left', retryAfterMs: 1000 });
      }
      const release = ({ outcome }: SlotOutcome): void => {
        outcomes.push(outcome);
      };
      return ok({ server, priority: 0, release });
    },
  };
};
