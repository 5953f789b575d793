import { chooseForwardServer, type ServerEntry } from '../../../../domain/forwarding';
import type { HeldCopy, StreamRun } from '../../types';

/** Where the next attempt goes. */
export interface StreamServers {
  readonly server: ServerEntry;
  /** Copy that it goes on from; null if it reads the prompt. */
  readonly copy: HeldCopy | null;
  /** Server that gets a copy as the run grows; null if there is none. */
  readonly backup: ServerEntry | null;
}

const findCopyServer = (
  { copy, dependencies }: StreamRun,
  excludedIds: ReadonlySet<string>,
): ServerEntry | null => {
  if (!copy || excludedIds.has(copy.serverId)) return null;
  const { directory } = dependencies;
  return directory.findServing(copy.serverId) ?? directory.findServingAt(copy.serverAddress);
};

/**
 * Chooses the server of the next attempt, and the one that gets its copy: in another availability
 * zone, as servers of one zone are lost together.
 *
 * A server that holds a copy goes before all others: reading a long prompt anew takes longer than
 * a reader is ready to wait for the next event.
 */
export const chooseStreamServers = (
  run: StreamRun,
  excludedIds: ReadonlySet<string>,
): StreamServers | null => {
  const { availabilityZone, directory, randomness, tables } = run.dependencies;
  const { service } = run.context;
  const serving = directory.listServing(service);
  const copyServer = findCopyServer(run, excludedIds);
  const server =
    copyServer ??
    chooseForwardServer(serving, {
      excludedIds,
      avoidedZone: null,
      preferredZone: availabilityZone,
      draw: randomness.readFraction(),
    })?.entry;
  if (!server) return null;
  const traits = tables.readCurrent()?.services.get(service)?.engine;
  const backup = traits?.keepsBackups
    ? chooseForwardServer(serving, {
        excludedIds: new Set([...excludedIds, server.id]),
        avoidedZone: server.availabilityZone,
        preferredZone: null,
        draw: randomness.readFraction(),
      })
    : null;
  return { server, copy: copyServer ? run.copy : null, backup: backup?.entry ?? null };
};
