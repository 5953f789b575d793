import type { GatewayClient } from '../../../../adapters/connect';
import type { RouteTableHolder, ServerDirectory } from '../../../../application/forwarding';
import type { Member } from '../../../../application/gossip';
import {
  createRelayRegistry,
  createServerPaths,
  createServerReach,
  type ReachAnswer,
  type ReachQuestion,
  type ServerPaths,
} from '../../../../application/paths';
import type { Clock, EventLog, Randomness } from '../../../../application/ports';
import type { ServerEntry } from '../../../../domain/forwarding';
import type { RelayCandidate } from '../../../../domain/paths';
import { createServerClient, type ServerClient } from '../../../../../platform';

/** Dependencies of the paths to servers. */
export interface PathPartsDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly self: Pick<RelayCandidate, 'availabilityZone' | 'vm'>;
  readonly calls: Pick<GatewayClient, 'readReach'>;
  readonly listPeers: () => readonly Member[];
  readonly listEntries: ServerDirectory['listEntries'];
  readonly recordReachable: ServerDirectory['recordReachable'];
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
  /** Called with the kind of each question about a server. */
  readonly recordQuery: (kind: string) => void;
}

/** The client of servers, and the paths that its requests take. */
export interface PathParts {
  readonly client: ServerClient;
  readonly paths: ServerPaths;
  /** Finds out which of these servers this VM reaches. */
  readonly probeReach: (question: ReachQuestion) => Promise<Omit<ReachAnswer, 'running'>>;
}

/** Wires the client of servers and its paths. */
export const wirePaths = ({
  calls,
  listEntries,
  recordQuery,
  recordReachable,
  tables,
  ...common
}: PathPartsDependencies): PathParts => {
  const readHealthPath = ({ service }: ServerEntry): string | undefined =>
    tables.readCurrent()?.services.get(service)?.healthPath;
  let probeServer: ServerClient['probeServer'] = async () => false;
  const reach = createServerReach({
    ...common,
    listServers: () => listEntries().filter((server) => readHealthPath(server) !== undefined),
    probeServer: async (server) => {
      const healthPath = readHealthPath(server);
      return healthPath !== undefined && probeServer(server, healthPath);
    },
  });
  const relays = createRelayRegistry({
    ...common,
    askPeer: (address, question) => {
      recordQuery('reach');
      return calls.readReach(address, question);
    },
  });
  const paths = createServerPaths({
    ...common,
    reach,
    relays,
    // Other VMs reach the server, so that its failures here say nothing about it.
    handleRelayed: recordReachable,
  });
  const client = createServerClient({ clock: common.clock, paths, recordQuery });
  probeServer = client.probeServer;
  return { client, paths, probeReach: reach.probeReach };
};
