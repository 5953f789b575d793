import type { Demand, FilteredServer, RoutingDecision } from '../../../domain/types';
import type { DecisionLog } from '../../ports';
import type { ReadyPool } from '../types';

/** Writes routing decisions to the decision log. */
export interface DecisionRecorder {
  record(
    demand: Demand,
    version: number,
    ready: ReadyPool | null,
    outcome: Pick<RoutingDecision, 'kind' | 'choice' | 'reason'>,
  ): void;
}

/** Creates the decision recorder; each decision becomes one entry of the log. */
export function createDecisionRecorder(decisions: DecisionLog): DecisionRecorder {
  return {
    record: (demand, configurationVersion, ready, outcome) => {
      const { requestId, workspace, service, excludedServers } = demand;
      const candidates = ready?.candidates ?? [];
      const excluded: readonly FilteredServer[] = excludedServers
        .filter((name) => candidates.includes(name))
        .map((backendServer) => ({ backendServer, reason: 'failed-this-request' }));
      const filtered = ready?.filtered ?? [];
      // Decisions share the lists of the pool; they are copied only if servers are excluded.
      const isShared = excluded.length === 0;
      decisions.record({
        ...outcome,
        requestId,
        workspace,
        service,
        candidates: isShared
          ? candidates
          : candidates.filter((name) => !excludedServers.includes(name)),
        filtered: isShared ? filtered : [...filtered, ...excluded],
        configurationVersion,
      });
    },
  };
}
