import {
  createCrashHistory,
  createCrashProbe,
  createCrashTrials,
  createQuarantineRows,
  CRASH_RETENTION_MS,
  type CrashHistory,
  type CrashProbe,
  type CrashTrials,
  type QuarantineRows,
} from '../../../../application/crashes';
import type { RouteTableHolder, ServerDirectory } from '../../../../application/forwarding';
import { formatIncarnation } from '../../../../domain/forwarding';
import type { Gossip } from '../../../../application/gossip';
import type { ServerPaths } from '../../../../application/paths';
import type { Clock, EventLog, ForwardClient } from '../../../../application/ports';
import { TABLES, type StoreClient } from '../../../../../platform';

/** Dependencies of the crash parts. */
export interface CrashPartsDependencies {
  readonly client: ForwardClient;
  readonly clock: Clock;
  readonly directory: ServerDirectory;
  readonly log: EventLog;
  readonly paths: Pick<ServerPaths, 'findFailureCause' | 'isCutFrom'>;
  readonly store: StoreClient;
  readonly tables: RouteTableHolder;
  readonly publishOutcome: Gossip['sendOutcome'];
}

/** Parts that track requests which crash their servers. */
export interface CrashParts {
  readonly crashes: CrashHistory;
  readonly crashProbe: CrashProbe;
  readonly crashTrials: CrashTrials;
  readonly quarantineRows: QuarantineRows;
}

/** Wires the parts that track requests which crash their servers. */
export const wireCrashes = ({
  client,
  clock,
  directory,
  log,
  paths,
  store,
  tables,
  publishOutcome,
}: CrashPartsDependencies): CrashParts => {
  let rows: Pick<QuarantineRows, 'startRemove' | 'startWrite'> | null = null;
  const crashes = createCrashHistory({
    clock,
    log,
    hasAnsweredSince: directory.hasAnsweredSince,
    publishOutcome,
    handleQuarantine: (fingerprint) => rows?.startWrite(fingerprint),
    handleCleared: (fingerprint) => rows?.startRemove(fingerprint),
  });
  const quarantineRows = createQuarantineRows({
    table: TABLES.quarantines,
    store,
    crashes,
    clock,
    log,
    retentionMs: CRASH_RETENTION_MS,
  });
  rows = quarantineRows;
  const crashTrials = createCrashTrials({ table: TABLES.quarantines, store, crashes, clock, log });
  const crashProbe = createCrashProbe({
    clock,
    crashes,
    log,
    servers: {
      findServer: (incarnation) =>
        directory.listEntries().find((entry) => formatIncarnation(entry) === incarnation) ?? null,
      probeIdentity: async (server) => {
        const healthPath = tables.readCurrent()?.services.get(server.service)?.healthPath;
        return healthPath === undefined ? 'unseen' : client.probeIdentity(server, healthPath);
      },
      findFailureCause: paths.findFailureCause,
      isCutFrom: paths.isCutFrom,
      hasAnsweredSince: directory.hasAnsweredSince,
      recordAlive: directory.recordAlive,
    },
  });
  return { crashes, crashProbe, crashTrials, quarantineRows };
};
