import { err, ok, type Result } from 'neverthrow';
import type { ServerPaths } from '../../../src/application/paths';
import type {
  AttemptAnswer,
  AttemptError,
  Clock,
  ForwardClient,
  ServerIdentity,
} from '../../../src/application/ports';
import type { ConnectionEnd } from '../../../src/domain/crashes';
import type { ServerEntry } from '../../../src/domain/forwarding';
import { buildServerReport } from '../../fakes';
import { createPushedBody, SIMULATED_HEAD } from '../../model';
import type { FailingServers, ServerState } from '../createFailingServers';

/** Links of a VM to servers and to other VMs. */
export interface FailingClientOptions {
  readonly clock: Clock;
  readonly servers: FailingServers;
  readonly paths: Pick<
    ServerPaths,
    | 'choosePath'
    | 'isCutFrom'
    | 'recordAnswer'
    | 'recordFailure'
    | 'recordRelayLoss'
    | 'recordRelayMiss'
  >;
  /** State of a server on the links of a VM; null for this one. */
  readonly readState: (relay: string | null, id: string) => ServerState;
  /** False if responses have neither a length nor chunks. */
  readonly isFramed: boolean;
  /** True if the relay of a bad request fails together with its server. */
  readonly losesRelays: boolean;
  readonly isBad: (target: string) => boolean;
  readonly isStream: (target: string) => boolean;
}

/** Client of a VM in virtual time. */
export interface FailingClient extends ForwardClient {
  /** True if the server answers this VM directly. */
  probeDirectly(server: ServerEntry): Promise<boolean>;
}

/** Times until a refused connection, one that is not established, and a silent answer are given up. */
const REFUSED_MS = 1;
const CONNECT_MS = 120;
const QUERY_MS = 150;

/** Error of a body, with the end of its connection. */
class ClosedError extends Error {
  constructor(readonly connection: ConnectionEnd) {
    super(connection);
  }
}

/** Creates the client of a VM, whose requests take the paths of that VM. */
export const createFailingClient = ({
  clock,
  isBad,
  isFramed,
  isStream,
  losesRelays,
  paths,
  readState,
  servers,
}: FailingClientOptions): FailingClient => {
  const wait = (durationMs: number): Promise<void> =>
    new Promise((resolve) => {
      clock.startTimer(durationMs, resolve);
    });

  /** Connects; returns null if no connection was established. */
  const connect = async (id: string): Promise<{ readonly relay: string | null } | null> => {
    const path = paths.choosePath(id);
    const relay = path.kind === 'relay' ? path.vm : null;
    const state = readState(relay, id);
    if (state !== 'up') {
      await wait(state === 'gone' ? REFUSED_MS : CONNECT_MS);
      if (relay === null) paths.recordFailure(id, 'not-connected');
      else paths.recordRelayMiss(relay, id);
      return null;
    }
    if (relay === null) paths.recordAnswer(id, { isNewConnection: true });
    return { relay };
  };

  const run = (
    { request, server: { id } }: Parameters<ForwardClient['sendAttempt']>[0],
    relay: string | null,
    signal: AbortSignal,
  ): Promise<Result<AttemptAnswer, AttemptError>> =>
    new Promise((resolve) => {
      const bad = isBad(request.target);
      const body = createPushedBody();
      const readEnd: AttemptAnswer['readEnd'] = (error) => {
        if (error instanceof ClosedError) return error.connection;
        return isFramed || !bad ? 'complete' : 'closed';
      };
      const fail = (kind: AttemptError['kind'], connection: ConnectionEnd): void =>
        resolve(err({ kind, reason: connection, connection, relay }));
      const cancel = servers.startRun(id, bad, {
        handleHead: () => {
          const head = { ...SIMULATED_HEAD, isFramed: isFramed || !bad };
          resolve(
            ok({ head, relay, body: body.readChunks(), readEnd, recordProgress: () => undefined }),
          );
        },
        handleEvent: (event) => {
          if (isStream(request.target)) body.push(Buffer.from(`id: ${event}\ndata: x\n\n`));
        },
        handleEnd: (connection) => {
          const isLost = relay !== null && bad && losesRelays && connection !== 'complete';
          if (isLost) paths.recordRelayLoss(relay);
          if (relay === null && connection !== 'complete') paths.recordFailure(id, 'broken');
          const isCut = relay === null && connection !== 'complete' && paths.isCutFrom(id);
          const seen = isLost || isCut ? 'unseen' : connection;
          const isOrdinary = seen === 'complete' || (seen === 'closed' && bad && !isFramed);
          body.finish(isOrdinary ? null : new ClosedError(seen));
          fail('broken', seen);
        },
      });
      signal.addEventListener('abort', () => {
        cancel();
        body.finish(new ClosedError('dropped'));
        fail('cancelled', 'dropped');
      });
    });

  const query = async <T>(id: string, answer: T): Promise<T | null> => {
    const connected = await connect(id);
    if (!connected) return null;
    await wait(REFUSED_MS);
    return servers.readState(id) === 'up' ? answer : null;
  };

  const buildIdentity = (id: string): ServerIdentity => ({
    id,
    isLeaving: false,
    limitPerS: null,
    maxRejectionsPerS: null,
    load: null,
  });

  return {
    sendAttempt: async (attempt, signal) => {
      const connected = await connect(attempt.server.id);
      if (connected) return run(attempt, connected.relay, signal);
      return err({ kind: 'not-started', reason: 'refused', connection: 'unsent', relay: null });
    },
    probeDirectly: async ({ id }) => {
      const state = readState(null, id);
      if (state === 'dark') await wait(QUERY_MS);
      return state === 'up';
    },
    readReport: ({ id }) => query(id, buildServerReport({ waiting: 0 })),
    probeIdentity: async ({ id }) => ((await query(id, id)) === null ? 'gone' : 'alive'),
    readIdentity: ({ id }) => query(id, buildIdentity(id)),
    copyRun: async () => err({ reason: 'none', isUnknownRun: false, kept: null }),
    dropCopy: () => undefined,
    readCachedPromptParts: async () => new Map(),
    removeServer: () => undefined,
  };
};
