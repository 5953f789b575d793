import type { ServerEntry, ServerStatus } from '../../../../domain/forwarding';
import { chooseTrialServers, RolloutState } from '../../../../domain/rollouts';
import type { HeldRollout, RequestServers } from '../../types';
import type { UsualTimes } from '../createUsualTimes';

/** What the servers of one request follow from. */
export interface RequestServersOptions {
  /** The service's roll-out now: an order or a verdict may come at any time. */
  readonly find: () => HeldRollout | undefined;
  readonly service: string;
  readonly route: string;
  readonly usual: UsualTimes;
  /** The roll-out whose new version the request tries first; null for none. */
  readonly trialOf: HeldRollout | null;
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
export const buildRequestServers = ({
  find,
  handleEvidence,
  listServing,
  route,
  service,
  trialOf,
  trialRatio,
  usual,
}: RequestServersOptions): RequestServers => {
  let wantsTrial = trialOf !== null;
  const isCandidate = ({ version }: ServerEntry): boolean => version === find()?.order.to;

  const list = (): readonly ServerStatus[] => {
    const servers = listServing();
    const held = find();
    if (!held) return servers;
    const candidates = servers.filter(({ entry }) => isCandidate(entry));
    const established = servers.filter(({ entry }) => !isCandidate(entry));
    if (established.length > 0) held.hasEstablished = true;
    if (MOVED_STATES.has(held.state)) return candidates.length > 0 ? candidates : established;
    const isTried = wantsTrial && held === trialOf && held.state === RolloutState.InProgress;
    const chosen = isTried ? chooseTrialServers(candidates, trialRatio) : [];
    return chosen.length > 0 ? chosen : established;
  };

  return {
    list,
    isAllowed: (server) => {
      const held = find();
      if (!held) return true;
      if (isCandidate(server)) return MOVED_STATES.has(held.state);
      return held.state !== RolloutState.Completed;
    },
    listHolders: (source) =>
      listServing().filter(({ entry }) => !find() || entry.version === source.version),
    isTrial: (server) => find()?.state === RolloutState.InProgress && isCandidate(server),
    recordSent: (server) => {
      // What follows an attempt at the new version goes to the established one.
      if (isCandidate(server)) wantsTrial = false;
    },
    recordOutcome: (server, { isFailure, took }) => {
      const held = find();
      const version = isCandidate(server) ? 'candidate' : 'established';
      const time = server.warmupLeftMs > 0 || took === null || took <= 0 ? null : took;
      const isPoor = isFailure || (time !== null && usual.isSlow(service, route, time));
      if (version === 'established' && !isFailure && time !== null) {
        usual.record(service, route, time);
      }
      if (!held || held.state === RolloutState.Completed) return;
      held.tallies.record(route, version, { isPoor });
      if (version === 'candidate') handleEvidence();
    },
  };
};
