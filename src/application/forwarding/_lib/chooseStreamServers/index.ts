import {
  chooseForwardServer,
  chooseReportedServer,
  type ServerEntry,
} from '../../../../domain/forwarding';
import type { HeldCopy, StreamRun } from '../../types';
import { askServers } from '../askServers';

/** Where the next attempt goes. */
export interface StreamServers {
  readonly server: ServerEntry;
  /** Copy that it goes on from; null if it reads the prompt. */
  readonly copy: HeldCopy | null;
  /** Server that gets a copy as the run grows; null if there is none. */
  readonly backup: ServerEntry | null;
}

/** Rounds in which servers are asked, where none of a round answers. */
const MAX_ROUNDS = 3;

const findCopyServer = (
  { copy, dependencies }: StreamRun,
  excludedIds: ReadonlySet<string>,
): ServerEntry | null => {
  if (!copy || excludedIds.has(copy.serverId)) return null;
  const { directory } = dependencies;
  return directory.findServing(copy.serverId) ?? directory.findServingAt(copy.serverAddress);
};

const keepsBackups = ({ context, dependencies }: StreamRun): boolean =>
  dependencies.tables.readCurrent()?.services.get(context.service)?.engine?.keepsBackups ?? false;

/** The next attempt goes on at once from a copy: nobody is asked. */
const buildFromCopy = (
  run: StreamRun,
  server: ServerEntry,
  excludedIds: ReadonlySet<string>,
): StreamServers => {
  const { directory, randomness } = run.dependencies;
  const backup = keepsBackups(run)
    ? chooseForwardServer(directory.listServing(run.context.service), {
        excludedIds: new Set([...excludedIds, server.id]),
        avoidedZone: server.availabilityZone,
        preferredZone: null,
        draw: randomness.readFraction(),
      })
    : null;
  return { server, copy: run.copy, backup: backup?.entry ?? null };
};

/**
 * Chooses the server of the next attempt, and the one that gets its copy: in another availability
 * zone, as servers of one zone are lost together.
 *
 * A server that holds a copy goes before all others: reading a long prompt anew takes longer than
 * a reader is ready to wait for the next event.
 */
export const chooseStreamServers = async (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): Promise<StreamServers | null> => {
  const { availabilityZone } = run.dependencies;
  const copyServer = findCopyServer(run, excludedIds);
  if (copyServer) return buildFromCopy(run, copyServer, excludedIds);
  const { tokens } = run.context.request;
  const neededTokens = (tokens?.prompt ?? 0) + (tokens?.maxOutput ?? 0);
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const asked = await askServers(run, excludedIds);
    const chosen = chooseReportedServer(asked, { neededTokens, preferredZone: availabilityZone });
    if (chosen) {
      const others = asked.filter(
        ({ entry }) => entry.availabilityZone !== chosen.entry.availabilityZone,
      );
      const backup = chooseReportedServer(others, { neededTokens, preferredZone: null });
      return {
        server: chosen.entry,
        copy: null,
        backup: keepsBackups(run) ? (backup?.entry ?? null) : null,
      };
    }
  }
  return null;
};
