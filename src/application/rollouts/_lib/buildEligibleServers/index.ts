import type { ServerEntry, ServerStatus } from '../../../../domain/forwarding';
import { chooseTrialServers, RolloutState } from '../../../../domain/rollouts';
import type { TrackedRollout, EligibleServers } from '../../types';
import type { LatencyBaselines } from '../createLatencyBaselines';

/** What the servers of one request follow from. */
export interface EligibleServersOptions {
  /** The service's roll-out now: an order or a verdict may come at any time. */
  readonly findRollout: () => TrackedRollout | undefined;
  readonly service: string;
  readonly route: string;
  readonly latencyBaselines: LatencyBaselines;
  /** The roll-out whose new version the request tries first; null for none. */
  readonly trialRollout: TrackedRollout | null;
  readonly trialRatio: number;
  readonly listServing: () => readonly ServerStatus[];
  /** Something was seen at a server of the new version. */
  readonly handleEvidence: () => void;
}

/** States in which all requests go to the new version, as far as it has servers. */
const MOVED_STATES: ReadonlySet<RolloutState> = new Set([
  RolloutState.Switching,
  RolloutState.Completed,
]);

/** Builds the servers that one request may go to, as roll-outs allow. */
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
    const held = findRollout();
    if (!held) return servers;
    const candidates = servers.filter(({ entry }) => isCandidate(entry));
    const established = servers.filter(({ entry }) => !isCandidate(entry));
    if (established.length > 0) held.hasEstablished = true;
    if (MOVED_STATES.has(held.state)) return candidates.length > 0 ? candidates : established;
    const isTried = wantsTrial && held === trialRollout && held.state === RolloutState.InProgress;
    const chosen = isTried ? chooseTrialServers(candidates, trialRatio) : [];
    return chosen.length > 0 ? chosen : established;
  };

  return {
    list,
    isAllowed: (server) => {
      const held = findRollout();
      if (!held) return true;
      if (isCandidate(server)) return MOVED_STATES.has(held.state);
      return held.state !== RolloutState.Completed;
    },
    listHolders: (source) =>
      listServing().filter(({ entry }) => !findRollout() || entry.version === source.version),
    isTrial: (server) => findRollout()?.state === RolloutState.InProgress && isCandidate(server),
    recordSent: (server) => {
      // What follows an attempt at the new version goes to the established one.
      if (isCandidate(server)) wantsTrial = false;
    },
    recordOutcome: (server, { isFailure, duration }) => {
      const held = findRollout();
      const version = isCandidate(server) ? 'candidate' : 'established';
      const time = server.warmupLeftMs > 0 || duration === null || duration <= 0 ? null : duration;
      const isPoor = isFailure || (time !== null && latencyBaselines.isSlow(service, route, time));
      if (version === 'established' && !isFailure && time !== null) {
        latencyBaselines.record(service, route, time);
      }
      if (!held || held.state === RolloutState.Completed) return;
      held.tallies.record(route, version, { isPoor });
      if (version === 'candidate') handleEvidence();
    },
  };
};
