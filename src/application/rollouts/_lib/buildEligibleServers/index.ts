import type { ServerEntry, ServerStatus } from '../../../../domain/forwarding';
import { chooseTrialServers, RolloutState } from '../../../../domain/rollouts';
import type { TrackedRollout, EligibleServers } from '../../types';
import type { LatencyBaselines } from '../createLatencyBaselines';

/** Inputs that determine the eligible servers of one request. */
export interface EligibleServersOptions {
  /** Finds the current rollout of the service: an order or a verdict may arrive at any time. */
  readonly findRollout: () => TrackedRollout | undefined;
  readonly service: string;
  readonly route: string;
  readonly latencyBaselines: LatencyBaselines;
  /** Rollout whose new version the request tries first; null for none. */
  readonly trialRollout: TrackedRollout | null;
  readonly trialRatio: number;
  readonly listServing: () => readonly ServerStatus[];
  /** Called after each outcome at a server of the new version. */
  readonly handleEvidence: () => void;
}

/** States in which all requests go to the new version if it has servers. */
const SWITCHED_STATES: ReadonlySet<RolloutState> = new Set([
  RolloutState.Switching,
  RolloutState.Completed,
]);

/** Builds the servers that rollouts allow for one request. */
export const buildEligibleServers = ({
  findRollout,
  handleEvidence,
  listServing,
  route,
  service,
  trialRollout,
  trialRatio,
  latencyBaselines,
}: EligibleServersOptions): EligibleServers => {
  let wantsTrial = trialRollout !== null;
  const isCandidate = ({ version }: ServerEntry): boolean => version === findRollout()?.order.to;

  const list = (): readonly ServerStatus[] => {
    const servers = listServing();
    const rollout = findRollout();
    if (!rollout) return servers;
    const candidates = servers.filter(({ entry }) => isCandidate(entry));
    const established = servers.filter(({ entry }) => !isCandidate(entry));
    if (established.length > 0) rollout.hasEstablished = true;
    if (SWITCHED_STATES.has(rollout.state)) return candidates.length > 0 ? candidates : established;
    const isTrialAttempt =
      wantsTrial && rollout === trialRollout && rollout.state === RolloutState.InProgress;
    const trialServers = isTrialAttempt ? chooseTrialServers(candidates, trialRatio) : [];
    return trialServers.length > 0 ? trialServers : established;
  };

  return {
    list,
    isAllowed: (server) => {
      const rollout = findRollout();
      if (!rollout) return true;
      if (isCandidate(server)) return SWITCHED_STATES.has(rollout.state);
      return rollout.state !== RolloutState.Completed;
    },
    listHolders: (source) =>
      listServing().filter(({ entry }) => !findRollout() || entry.version === source.version),
    isTrial: (server) => findRollout()?.state === RolloutState.InProgress && isCandidate(server),
    recordSent: (server) => {
      // Attempts after one at the new version go to the established version.
      if (isCandidate(server)) wantsTrial = false;
    },
    recordOutcome: (server, { isFailure, duration }) => {
      const rollout = findRollout();
      const version = isCandidate(server) ? 'candidate' : 'established';
      const usableDuration =
        server.warmupLeftMs > 0 || duration === null || duration <= 0 ? null : duration;
      const isPoor =
        isFailure ||
        (usableDuration !== null && latencyBaselines.isSlow(service, route, usableDuration));
      if (version === 'established' && !isFailure && usableDuration !== null) {
        latencyBaselines.record(service, route, usableDuration);
      }
      if (!rollout || rollout.state === RolloutState.Completed) return;
      rollout.tallies.record(route, version, { isPoor });
      if (version === 'candidate') handleEvidence();
    },
  };
};
