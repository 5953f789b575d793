import type { Demand, FilteredServer, RoutingDecision } from '../../../domain/types';
import type { DecisionLog } from '../../ports';
import type { ReadyPool } from '../types';

/** Records the routing decisions of demands. */
export interface DecisionRecorder {
  record(
    demand: Demand,
    version: number,
    ready: ReadyPool | null,
    outcome: Pick<RoutingDecision, 'kind' | 'choice' | 'reason'>,
  ): void;
}

/** Creates the recorder: one decision, one line. */
export function createDecisionRecorder(decisions: DecisionLog): DecisionRecorder {
  return {
    record: (demand, configurationVersion, ready, outcome) => {
      const { requestId, workspace, service, excludedServers } = demand;
      const all = ready?.candidates ?? [];
      const excluded: readonly FilteredServer[] = excludedServers
        .filter((name) => all.includes(name))
        .map((backendServer) => ({ backendServer, reason: 'failed-this-request' }));
      const filtered = ready?.filtered ?? [];
      // The lists of a pool are shared between decisions, and copied only if this demand differs.
      const isSame = excluded.length === 0;
      decisions.record({
        ...outcome,
        requestId,
        workspace,
        service,
        candidates: isSame ? all : all.filter((name) => !excludedServers.includes(name)),
        filtered: isSame ? filtered : [...filtered, ...excluded],
        configurationVersion,
      });
    },
  };
}
