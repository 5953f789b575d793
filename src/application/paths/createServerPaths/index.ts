import type { FailureCause, ServerPath } from '../../../domain/paths';
import type { Clock, EventLog, Randomness } from '../../ports';
import { startLoop, waitDelay } from '../../time';
import type { RelayRegistry } from '../createRelayRegistry';
import type { ServerReach } from '../createServerReach';
import type { PathFailure } from '../types';

/** Dependencies of the paths. */
export interface ServerPathsDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly randomness: Randomness;
  readonly reach: ServerReach;
  readonly relays: RelayRegistry;
  /** Called with a server that this VM does not reach itself, but another VM does. */
  readonly handleRelayed: (id: string) => void;
}

/** Chooses how requests get to servers: directly, or through a VM that reaches them. */
export interface ServerPaths {
  choosePath(serverId: string): ServerPath;
  /** Records an answer on the direct path. */
  recordAnswer(serverId: string, options: { readonly isNewConnection: boolean }): void;
  /** Records that a server gave no answer on the direct path. */
  recordFailure(serverId: string, failure: PathFailure): void;
  recordRelayLoss(vm: string): void;
  recordRelaySilence(vm: string): void;
  recordRelayMiss(vm: string, serverId: string): void;
  /** True if this VM has lost its links to the server, while the server may be sound. */
  isCutFrom(serverId: string): boolean;
  /**
   * Finds out whether a failure is evidence against the server: it is not if this VM has lost its
   * links to servers.
   */
  judgeFailure(serverId: string): Promise<boolean>;
  /** Finds out the same by VMs that see the server, which takes a question to some of them. */
  findFailureCause(serverId: string): Promise<FailureCause>;
  /** Forgets a server that is gone. */
  forgetServer(serverId: string): void;
  countUnreached(): number;
  countRelays(): number;
  stop(): void;
}

const DIRECT: ServerPath = { kind: 'direct' };

/** Failures within this time are checked together. */
const CHECK_DELAY_MS = 5;

/**
 * Pause between checks that show that the links are sound; it doubles with each one, since calls to
 * busy servers time out all the time.
 */
const MIN_CHECK_PAUSE_MS = 250;
const MAX_CHECK_PAUSE_MS = 1000;

/** Interval at which a VM without links probes servers and asks its relays. */
const ROUND_MS = 500;

/** Longest interval while no other VM reaches the servers either. */
const MAX_ROUND_MS = 4000;

/** Creates the paths to servers, all of them direct. */
export const createServerPaths = ({
  clock,
  handleRelayed,
  log,
  randomness,
  reach,
  relays,
}: ServerPathsDependencies): ServerPaths => {
  const pendingIds = new Set<string>();
  /** Servers that were found to be reached by a relay. */
  const relayedIds = new Set<string>();
  let runningCheck: Promise<void> | null = null;
  let runningQuestions: Promise<void> | null = null;
  let nextSilenceCheckAtMs = -Infinity;
  let checkPauseMs = MIN_CHECK_PAUSE_MS;
  let roundMs = ROUND_MS;
  let isStopped = false;
  let stopLoop: (() => void) | null = null;

  const askRelaysNow = async (): Promise<void> => {
    const ids = reach.drawUnreached();
    [...relayedIds].filter(reach.isReached).forEach((id) => relayedIds.delete(id));
    if (ids.length === 0) return;
    await relays.askRelays(ids, { isCutOff: reach.isCutOff() });
    const found = ids.filter((id) => !relayedIds.has(id) && relays.chooseRelay(id) !== null);
    found.forEach((id) => {
      relayedIds.add(id);
      handleRelayed(id);
    });
  };

  /** Asks relays, unless questions are under way. */
  const askRelays = (): Promise<void> => {
    runningQuestions ??= askRelaysNow().finally(() => {
      runningQuestions = null;
    });
    return runningQuestions;
  };

  const stopRounds = (): void => {
    stopLoop?.();
    stopLoop = null;
  };

  /** Each VM has its own random intervals, so that they do not return to direct paths at once. */
  const computeRoundDelayMs = (): number => roundMs * (0.75 + randomness.readFraction() / 2);

  /** Probes servers and asks relays; ends once all servers are reached directly. */
  const runRound = async (): Promise<number | null> => {
    await Promise.all([reach.probeUnreached(), askRelays()]);
    roundMs = relays.countRelays() > 0 ? ROUND_MS : Math.min(MAX_ROUND_MS, roundMs * 2);
    if (reach.countUnreached() > 0) return computeRoundDelayMs();
    relays.clear();
    stopLoop = null;
    return null;
  };

  const startRounds = (): void => {
    if (stopLoop || isStopped) return;
    stopLoop = startLoop({
      clock,
      firstDelayMs: computeRoundDelayMs(),
      runStep: runRound,
      handleFailure: (reason) => {
        log.error('search for paths failed unexpectedly', { reason });
        return computeRoundDelayMs();
      },
    });
  };

  const runCheck = async (): Promise<void> => {
    await waitDelay(clock, CHECK_DELAY_MS);
    const ids = [...pendingIds];
    pendingIds.clear();
    await reach.checkServers(ids);
    const isSound = ids.every(reach.isReached);
    checkPauseMs = isSound ? Math.min(MAX_CHECK_PAUSE_MS, checkPauseMs * 2) : MIN_CHECK_PAUSE_MS;
    nextSilenceCheckAtMs = clock.readMonotonicMs() + checkPauseMs;
    if (isSound) return;
    await askRelays();
    log.warn('servers not reached', {
      failed: ids.slice(0, 10).join(' '),
      unreached: reach.countUnreached(),
      reachesAny: reach.hasReachedAny(),
      relays: relays.countRelays(),
    });
    // A round that is due much later, for a server that no VM reaches, comes earlier.
    if (roundMs > ROUND_MS) stopRounds();
    roundMs = ROUND_MS;
    startRounds();
  };

  const startCheck = (id: string): Promise<void> => {
    pendingIds.add(id);
    runningCheck ??= runCheck()
      .catch((error: unknown) => {
        const reason = error instanceof Error ? error.message : 'unknown';
        log.error('check of paths failed unexpectedly', { reason });
      })
      .finally(() => {
        runningCheck = null;
      });
    return runningCheck;
  };

  /** Starts a check, or joins the running one if that includes the server. */
  const checkServer = async (id: string): Promise<void> => {
    if (isStopped || !reach.isReached(id)) return;
    await startCheck(id);
    if (pendingIds.has(id)) await startCheck(id);
  };

  const recordFailure: ServerPaths['recordFailure'] = (serverId, failure) => {
    const isSilence = failure === 'silent';
    if (isSilence && clock.readMonotonicMs() < nextSilenceCheckAtMs) return;
    if (isSilence && reach.hasRecentAnswer(serverId)) return;
    checkServer(serverId);
  };

  const isCutFrom = (serverId: string): boolean =>
    !reach.isReached(serverId) && (!reach.hasReachedAny() || relays.chooseRelay(serverId) !== null);

  return {
    choosePath: (serverId) => {
      if (reach.isReached(serverId)) return DIRECT;
      const relay = relays.chooseRelay(serverId);
      return relay ? { kind: 'relay', vm: relay.vm, address: relay.address } : DIRECT;
    },
    isCutFrom,
    recordAnswer: reach.recordAnswer,
    recordFailure,
    recordRelayLoss: (vm) => {
      relays.recordLoss(vm);
      if (relays.countRelays() === 0) askRelays();
    },
    recordRelaySilence: (vm) => {
      relays.recordSilence(vm);
      askRelays();
    },
    recordRelayMiss: relays.recordMiss,
    judgeFailure: async (serverId) => {
      await checkServer(serverId);
      if (reach.isReached(serverId)) return true;
      if (!reach.hasReachedAny()) await startCheck(serverId);
      return !isCutFrom(serverId);
    },
    findFailureCause: async (serverId) => {
      await checkServer(serverId);
      if (reach.isReached(serverId)) return 'server';
      // What VMs that reach servers say holds, whatever this VM reaches.
      const word = await relays.askAbout(serverId);
      if (word !== null) return word ? 'path' : 'server';
      if (!reach.hasReachedAny()) await startCheck(serverId);
      return reach.hasReachedAny() ? 'server' : 'unknown';
    },
    forgetServer: reach.forgetServer,
    countUnreached: reach.countUnreached,
    countRelays: relays.countRelays,
    stop: () => {
      isStopped = true;
      stopRounds();
    },
  };
};
