import type { RunOutcome } from '../../../domain/crashes';
import { formatIncarnation, type ServerEntry } from '../../../domain/forwarding';
import { createBoundedMap } from '../../_lib/createBoundedMap';
import type { Clock, EventLog } from '../../ports';
import type { CrashHistory } from '../createCrashHistory';
import type { ProbedServers } from '../types';

/** Dependencies of the crash probe. */
export interface CrashProbeDependencies {
  readonly clock: Clock;
  readonly crashes: Pick<CrashHistory, 'recordOutcome'>;
  readonly log: EventLog;
  readonly servers: ProbedServers;
}

/** A run that ended, by a fingerprint against which a crash of its server counts. */
export type ProbedRun = Pick<
  RunOutcome,
  'atMs' | 'fingerprint' | 'isLate' | 'parts' | 'ranMs' | 'requestId'
>;

/** Finds out whether servers crashed under requests. */
export interface CrashProbe {
  /**
   * Probes a server under which runs ended, and confirms that it crashed unless it is alive.
   *
   * @param options.isSilent - whether the server fell silent; else its connection ended
   */
  startProbe(
    server: ServerEntry,
    runs: readonly ProbedRun[],
    options: { readonly isSilent: boolean },
  ): void;
  /** Probes the servers of crashes that nobody has confirmed for a while. */
  startRecheck(crashes: readonly RunOutcome[]): void;
}

/** What is known of a server after a probe. */
interface ProbeResult {
  readonly state: 'alive' | 'crashed' | 'unknown';
  /** What the state was concluded from, for the log. */
  readonly reason: string;
}

/** The newest probe of a server. */
interface StartedProbe {
  readonly startedAtMs: number;
  readonly result: Promise<ProbeResult>;
}

/** Runs that wait for a probe of their server. */
interface PendingProbe {
  readonly openedAtMs: number;
  readonly runs: ProbedRun[];
}

/**
 * Delay of the probe of a server whose connection ended. One that only reset a connection answers
 * another request by then, and a crashed one has not restarted yet.
 */
const PROBE_DELAY_MS = 400;

/** Runs that end within this time on one server are judged by one probe. */
const JOIN_MS = 150;

/** A silent server that answered this VM within this time is probed later. */
const RECENT_ANSWER_MS = 500;

/** Time after which a crash that another VM has not confirmed is probed by this one. */
const RECHECK_AFTER_MS = 1000;

/**
 * The result of a probe holds for this long for runs on a server that fell silent, and for crashes
 * told by others.
 */
const RESULT_MS = 1000;

/** Results are kept for this many servers. */
const MAX_RESULTS = 1000;

/**
 * Creates the crash probe of this VM.
 *
 * Connections also break while the server stays alive, in the network or by load shedding. A server
 * has crashed if it does not answer, and not this VM's path to it is the cause. What cannot be told
 * stays unconfirmed, for VMs that see more.
 */
export const createCrashProbe = ({
  clock,
  crashes,
  log,
  servers,
}: CrashProbeDependencies): CrashProbe => {
  const pendingProbes = new Map<string, PendingProbe>();
  /** The newest probe by incarnation of the server. */
  const startedProbes = createBoundedMap<StartedProbe>(MAX_RESULTS);

  const findResult = async (server: ServerEntry, sinceMs: number): Promise<ProbeResult> => {
    if (servers.hasAnsweredSince(formatIncarnation(server), sinceMs)) {
      return { state: 'alive', reason: 'answered since' };
    }
    const sentAtMs = clock.readMonotonicMs();
    const sighting = await servers.probeIdentity(server);
    if (sighting === 'alive') servers.recordAlive(server.id, sentAtMs);
    if (sighting === 'alive' || sighting === 'silent') return { state: 'alive', reason: sighting };
    if (sighting === 'replaced') return { state: 'crashed', reason: sighting };
    const cause = await servers.findFailureCause(server.id);
    const states = { server: 'crashed', path: 'alive', unknown: 'unknown' } as const;
    // A server with too many connections breaks new ones.
    const isOverloaded =
      sighting === 'broken' && cause === 'server' && !servers.isCutFrom(server.id);
    const reason = `${sighting}, ${cause}`;
    return { state: isOverloaded ? 'unknown' : states[cause], reason };
  };

  const startFresh = (server: ServerEntry, sinceMs: number): Promise<ProbeResult> => {
    const incarnation = formatIncarnation(server);
    const result = findResult(server, sinceMs).then((found) => {
      log.info(found.state === 'crashed' ? 'crash confirmed' : 'crash not confirmed', {
        server: server.id,
        ...found,
      });
      return found;
    });
    startedProbes.set(incarnation, { startedAtMs: clock.readMonotonicMs(), result });
    return result;
  };

  const joinRecent = (server: ServerEntry, sinceMs: number): Promise<ProbeResult> => {
    const recent = startedProbes.get(formatIncarnation(server));
    const isValid = recent && clock.readMonotonicMs() - recent.startedAtMs < RESULT_MS;
    return isValid ? recent.result : startFresh(server, sinceMs);
  };

  /** Records the runs as crashes, confirmed or not, unless the server is alive. */
  const recordResult = async (
    server: ServerEntry,
    runs: readonly ProbedRun[],
    result: Promise<ProbeResult>,
  ): Promise<void> => {
    try {
      const { state } = await result;
      if (state === 'alive') return;
      const outcome = { server: formatIncarnation(server), hasCrashed: true };
      const isConfirmed = state === 'crashed';
      runs
        .filter(({ isLate }) => isConfirmed || isLate !== true)
        .forEach((run) => crashes.recordOutcome({ ...run, ...outcome, isConfirmed }));
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'unknown';
      log.error('crash probe failed unexpectedly', { server: server.id, reason });
    }
  };

  /** Probes a server later, together with runs that end on it soon after. */
  const joinPending = (server: ServerEntry, runs: readonly ProbedRun[]): void => {
    const incarnation = formatIncarnation(server);
    const openedAtMs = clock.readMonotonicMs();
    const pending = pendingProbes.get(incarnation);
    if (pending && openedAtMs - pending.openedAtMs <= JOIN_MS) {
      pending.runs.push(...runs);
      return;
    }
    const opened = { openedAtMs, runs: [...runs] };
    pendingProbes.set(incarnation, opened);
    clock.startTimer(PROBE_DELAY_MS, () => {
      if (pendingProbes.get(incarnation) === opened) pendingProbes.delete(incarnation);
      const endedAtMs = Math.max(...opened.runs.map(({ atMs }) => atMs));
      recordResult(server, opened.runs, startFresh(server, endedAtMs));
    });
  };

  return {
    startProbe: (server, runs, { isSilent }) => {
      const nowMs = clock.readMonotonicMs();
      const sinceMs = nowMs - RECENT_ANSWER_MS;
      // A server that answered others a moment ago does so again before its probe, if it is alive.
      if (!isSilent || servers.hasAnsweredSince(formatIncarnation(server), sinceMs)) {
        joinPending(server, runs);
      } else recordResult(server, runs, joinRecent(server, nowMs));
    },
    startRecheck: (unconfirmed) => {
      const untilMs = clock.readMonotonicMs() - RECHECK_AFTER_MS;
      unconfirmed
        .filter(({ atMs }) => atMs <= untilMs)
        .forEach(({ server: incarnation, ...run }) => {
          const server = servers.findServer(incarnation);
          if (!server) return;
          recordResult(server, [run], joinRecent(server, run.atMs));
        });
    },
  };
};
