import type { EligibleServers } from '../../../src/application/rollouts';
import type { ServerStatus } from '../../../src/domain/forwarding';

/** Servers of a request where no roll-out is under way. */
export const buildOpenServers = (listServing: () => readonly ServerStatus[]): EligibleServers => ({
  list: listServing,
  listHolders: listServing,
  isTrial: () => false,
  isAllowed: () => true,
  recordSent: () => undefined,
  recordOutcome: () => undefined,
});
