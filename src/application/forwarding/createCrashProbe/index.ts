import {
  chooseForwardServer,
  formatIncarnation,
  type RunOutcome,
  type ServerEntry,
} from '../../../domain/forwarding';
import type { Clock, EventLog, ForwardClient, Randomness } from '../../ports';
import type { CrashHistory } from '../createCrashHistory';
import type { RouteTableHolder } from '../createRouteTableHolder';
import type { ServerDirectory } from '../types';

/** What the probe needs. */
export interface CrashProbeDependencies {
  readonly client: Pick<ForwardClient, 'readIdentity'>;
  readonly clock: Clock;
  readonly crashes: Pick<CrashHistory, 'recordOutcome'>;
  readonly directory: Pick<ServerDirectory, 'listServing'>;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly tables: Pick<RouteTableHolder, 'readCurrent'>;
}

/** Finds out whether a server ended whose connection broke under a request. */
export interface CrashProbe {
  /** Asks a moment later; a crash is recorded only if the server is not there any more. */
  startProbe(run: Pick<RunOutcome, 'fingerprint' | 'requestId'>, server: ServerEntry): void;
}

/** A server that only reset a connection answers by then; one that ended is not back yet. */
const PROBE_DELAY_MS = 400;

/**
 * Creates the probe of this VM.
 *
 * Connections also break where the server stays: on the way, or as it sheds load. The server is asked
 * who it is, and one other of each service as well: a VM that nobody answers is cut off itself, and has
 * seen nothing, while a service may be down as a whole.
 */
export const createCrashProbe = ({
  client,
  clock,
  crashes,
  directory,
  log,
  randomness,
  tables,
}: CrashProbeDependencies): CrashProbe => {
  const isAlive = async (server: ServerEntry): Promise<boolean> => {
    const healthPath = tables.readCurrent()?.services.get(server.service)?.healthPath;
    if (healthPath === undefined) return false;
    const identity = await client.readIdentity(server, healthPath);
    return identity?.id === server.id;
  };

  const findControlServer = (service: string, excludedId: string): ServerEntry | null =>
    chooseForwardServer(directory.listServing(service), {
      excludedIds: new Set([excludedId]),
      avoidedZone: null,
      preferredZone: null,
      draw: randomness.readFraction(),
    })?.entry ?? null;

  /** One server of each service, where it has another one than this. */
  const listControlServers = ({ id }: ServerEntry): readonly ServerEntry[] =>
    [...(tables.readCurrent()?.services.keys() ?? [])]
      .map((service) => findControlServer(service, id))
      .filter((other) => other !== null);

  const probe = async (
    run: Pick<RunOutcome, 'fingerprint' | 'requestId'>,
    server: ServerEntry,
  ): Promise<void> => {
    const [isServerThere, controlsAlive] = await Promise.all([
      isAlive(server),
      Promise.all(listControlServers(server).map(isAlive)),
    ]);
    const isOtherThere = controlsAlive.includes(true);
    if (!isServerThere && isOtherThere) {
      crashes.recordOutcome({ ...run, server: formatIncarnation(server), hasCrashed: true });
      return;
    }
    log.info('crash not confirmed', { ...run, server: server.id, isServerThere, isOtherThere });
  };

  return {
    startProbe: (run, server) => {
      clock.startTimer(PROBE_DELAY_MS, () => {
        probe(run, server).catch((error: unknown) => {
          const reason = error instanceof Error ? error.message : 'unknown';
          log.error('probe failed unexpectedly', { server: server.id, reason });
        });
      });
    },
  };
};
