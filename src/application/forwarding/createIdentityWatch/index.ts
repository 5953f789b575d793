import type { Clock, EventLog, ForwardClient } from '../../ports';
import { startLoop } from '../../time';
import type { RouteTableHolder } from '../createRouteTableHolder';
import type { ServerDirectory } from '../types';

/** What the watch needs. */
export interface IdentityWatchDependencies {
  readonly client: Pick<ForwardClient, 'readIdentity'>;
  readonly clock: Clock;
  readonly directory: Pick<
    ServerDirectory,
    'countInferred' | 'listUncertain' | 'recordAlive' | 'recordLeaving' | 'recordReplaced'
  >;
  readonly log: EventLog;
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
}

/** Finds out who serves at the addresses of servers that failed. */
export interface IdentityWatch {
  /** Begins to ask, unless it does already; it ends once no address is in question. */
  start(): void;
  stop(): void;
}

/**
 * Time between two questions to one address. A server that crashed is back after a second or so, and
 * its address says whose it is for two: five questions find it.
 */
const ASK_MS = 350;

/** Time between two looks at servers without an entry: a third of the time that they count unseen. */
const ASK_INFERRED_MS = 2000;

/**
 * Creates the watch over servers that failed: a server that starts again has a new id, which stands
 * in the store only, and the store may be away for longer than the server.
 *
 * Without it every server that crashes during an outage of the store is lost to the gateways until
 * the store is back: with two of three availability zones lost in turn, the streams of ten seconds
 * stood in the queues of a third of the servers, and 1 in 5 was served.
 */
export const createIdentityWatch = ({
  client,
  clock,
  directory,
  log,
  tables,
}: IdentityWatchDependencies): IdentityWatch => {
  let stopLoop: (() => void) | null = null;

  const ask = async (): Promise<void> => {
    const services = tables.readCurrent()?.services;
    await Promise.all(
      directory.listUnverified().map(async (server) => {
        const healthPath = services?.get(server.service)?.healthPath;
        if (healthPath === undefined) return;
        const identity = await client.readIdentity(server, healthPath);
        if (!identity) return;
        const { id, isLeaving } = identity;
        if (id === server.id) directory.recordAlive(id);
        else directory.recordReplaced(server.id, id);
        if (isLeaving) directory.recordLeaving(id);
      }),
    );
  };

  const stop = (): void => {
    stopLoop?.();
    stopLoop = null;
  };

  return {
    start: () => {
      if (stopLoop) return;
      stopLoop = startLoop({
        clock,
        firstDelayMs: ASK_MS,
        runStep: async () => {
          await ask();
          if (directory.listUnverified().length > 0) return ASK_MS;
          if (directory.pruneInferred() > 0) return ASK_INFERRED_MS;
          stopLoop = null;
          return null;
        },
        handleFailure: (reason) => {
          log.error('asking for ids failed unexpectedly', { reason });
          return ASK_MS;
        },
      });
    },
    stop,
  };
};
