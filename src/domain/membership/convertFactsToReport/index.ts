import type { LoadReport } from '../../types';
import type { LoadFact, ServerStateFact } from '../types';

const PERMILLE = 1_000;

/**
 * Combines the two parts of a load report that a peer sent.
 *
 * @param state - fields that seldom change
 * @param load - fields that change continuously
 * @param nowMs - monotonic time of this VM at receipt, in milliseconds
 */
export const convertFactsToReport = (
  state: ServerStateFact,
  load: LoadFact,
  nowMs: number,
): LoadReport => ({
  backendServer: state.backendServer,
  sequence: load.sequence,
  running: load.running,
  waiting: load.waiting,
  slots: state.slots,
  cacheUse: load.cacheUsePermille / PERMILLE,
  tokensPerSecond: load.tokensPerSecond,
  models: state.models,
  role: state.role,
  leaving: state.leaving,
  fencingToken: state.fencingToken,
  ageMs: load.ageMs,
  receivedAtMs: nowMs,
});
