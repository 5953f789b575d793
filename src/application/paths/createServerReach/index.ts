import type { ServerEntry } from '../../../domain/forwarding';
import { drawSample } from '../../_lib/drawSample';
import type { Clock, EventLog, Randomness } from '../../ports';
import type { ReachAnswer, ReachQuestion } from '../types';

/** Dependencies of the reach. */
export interface ServerReachDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs'>;
  readonly log: EventLog;
  readonly randomness: Randomness;
  /** Lists the servers that have not left. */
  readonly listServers: () => readonly ServerEntry[];
  /** True if the server answers on a new connection of this VM. */
  readonly probeServer: (server: ServerEntry) => Promise<boolean>;
}

/** Knows which servers this VM reaches on its own links. */
export interface ServerReach {
  isReached(id: string): boolean;
  /** Draws some of the servers that this VM does not reach. */
  drawUnreached(): readonly string[];
  countUnreached(): number;
  /** True if this VM reaches no server. */
  isCutOff(): boolean;
  /** True if any server answered this VM on a new connection lately. */
  hasReachedAny(): boolean;
  /** Records an answer on the direct path. */
  recordAnswer(id: string, options: { readonly isNewConnection: boolean }): void;
  /** True if a server of the same service answered a moment ago, so that links are sound. */
  hasRecentAnswer(id: string): boolean;
  /**
   * Probes a server that gave no answer, and others as controls, and records those that it does not
   * reach.
   */
  checkServers(ids: readonly string[]): Promise<void>;
  /** Forgets a server that is gone. */
  forgetServer(id: string): void;
  /** Probes some of the servers that were not reached; records those that answer. */
  probeUnreached(): Promise<void>;
  /** Finds out for another VM which of these servers this VM reaches. */
  probeReach(question: ReachQuestion): Promise<Omit<ReachAnswer, 'running'>>;
}

/** Servers of the same service that are probed beside one that gave no answer. */
const CONTROLS = 2;

/** Servers probed at once if a control gives no answer either. */
const MAX_PROBED = 16;

/** Servers probed in each round while the VM is cut off. */
const PROBED_PER_ROUND = 3;

/** Answers within this time make a probe unnecessary. */
const RECENT_ANSWER_MS = 500;

/** Creates the reach of this VM, which takes all servers as reached. */
export const createServerReach = ({
  clock,
  listServers,
  log,
  probeServer,
  randomness,
}: ServerReachDependencies): ServerReach => {
  /** By id of a server that was not reached: since when. */
  const unreachedSinceMs = new Map<string, number>();
  const lastAnswerAtMs = new Map<string, number>();
  const lastConnectedAtMs = new Map<string, number>();
  const lastMissedAtMs = new Map<string, number>();
  /** Running probes by id, shared by all that need them. */
  const runningProbes = new Map<string, Promise<boolean>>();

  const findServer = (id: string): ServerEntry | undefined =>
    listServers().find((server) => server.id === id);

  const isRecent = (times: ReadonlyMap<string, number>, id: string): boolean =>
    clock.readMonotonicMs() - (times.get(id) ?? -Infinity) < RECENT_ANSWER_MS;

  const markReached = (id: string): void => {
    const sinceMs = unreachedSinceMs.get(id);
    if (sinceMs === undefined) return;
    unreachedSinceMs.delete(id);
    const unreachedMs = Math.round(clock.readMonotonicMs() - sinceMs);
    log.info('server reached again', { server: id, unreachedMs, left: unreachedSinceMs.size });
  };

  const markUnreached = ({ id }: ServerEntry): void => {
    if (unreachedSinceMs.has(id)) return;
    unreachedSinceMs.set(id, clock.readMonotonicMs());
    log.warn('server not reached', { server: id, unreached: unreachedSinceMs.size });
  };

  const recordAnswer: ServerReach['recordAnswer'] = (id, { isNewConnection }) => {
    const nowMs = clock.readMonotonicMs();
    lastAnswerAtMs.set(id, nowMs);
    if (!isNewConnection) return;
    lastConnectedAtMs.set(id, nowMs);
    markReached(id);
  };

  const probeNow = async (server: ServerEntry): Promise<boolean> => {
    const hasAnswered = await probeServer(server);
    if (hasAnswered) recordAnswer(server.id, { isNewConnection: true });
    else lastMissedAtMs.set(server.id, clock.readMonotonicMs());
    return hasAnswered;
  };

  const probe = (server: ServerEntry): Promise<boolean> => {
    const running = runningProbes.get(server.id);
    if (running) return running;
    const started = probeNow(server).finally(() => runningProbes.delete(server.id));
    runningProbes.set(server.id, started);
    return started;
  };

  /** Probes servers unless they connected a moment ago; returns those that gave no answer. */
  const probeAll = async (servers: readonly ServerEntry[]): Promise<readonly ServerEntry[]> => {
    const answers = await Promise.all(
      servers.map((server) => (isRecent(lastConnectedAtMs, server.id) ? true : probe(server))),
    );
    return servers.filter((_, index) => !answers[index]);
  };

  const forgetServer = (id: string): void =>
    [unreachedSinceMs, lastAnswerAtMs, lastConnectedAtMs, lastMissedAtMs].forEach((times) =>
      times.delete(id),
    );

  /** Forgets servers that leave. */
  const removeUnknown = (): void => {
    const knownIds = new Set(listServers().map(({ id }) => id));
    [...unreachedSinceMs.keys()].filter((id) => !knownIds.has(id)).forEach(forgetServer);
  };

  const drawOthers = (
    servers: readonly ServerEntry[],
    excludedIds: ReadonlySet<string>,
    count: number,
  ): readonly ServerEntry[] =>
    drawSample(
      servers.filter(({ id }) => !excludedIds.has(id) && !unreachedSinceMs.has(id)),
      count,
      randomness,
    );

  const hasReachedAny = (): boolean =>
    listServers().some(({ id }) => isRecent(lastConnectedAtMs, id));

  /** Finds out whether this VM reaches any server beside one that may be down. */
  const probeAny = async (suspectId: string): Promise<boolean> => {
    if (hasReachedAny()) return true;
    const [control] = drawOthers(listServers(), new Set([suspectId]), 1);
    return control ? probe(control) : false;
  };

  return {
    isReached: (id) => !unreachedSinceMs.has(id),
    drawUnreached: () => drawSample([...unreachedSinceMs.keys()], MAX_PROBED, randomness),
    countUnreached: () => unreachedSinceMs.size,
    isCutOff: () => listServers().every(({ id }) => unreachedSinceMs.has(id)),
    hasReachedAny,
    forgetServer,
    recordAnswer,
    hasRecentAnswer: (id) => {
      const service = findServer(id)?.service;
      return listServers().some(
        (one) => one.service === service && isRecent(lastAnswerAtMs, one.id),
      );
    },
    checkServers: async (ids) => {
      removeUnknown();
      const suspects = ids.map(findServer).filter((server) => server !== undefined);
      const services = new Set(suspects.map(({ service }) => service));
      const excludedIds = new Set(ids);
      const controls = [...services].flatMap((service) =>
        drawOthers(
          listServers().filter((one) => one.service === service),
          excludedIds,
          CONTROLS,
        ),
      );
      const [answers, missedControls] = await Promise.all([
        Promise.all(suspects.map(probe)),
        probeAll(controls),
      ]);
      const missed = suspects.filter((_, index) => !answers[index]);
      [...missed, ...missedControls].forEach(markUnreached);
      if (missed.length === 0 || (missedControls.length === 0 && controls.length > 0)) return;
      const sample = drawOthers(listServers(), excludedIds, MAX_PROBED);
      const missedSample = await probeAll(sample);
      // A VM that reaches none of those probed reaches none of the others either.
      const isCutOff = missed.length === suspects.length && missedSample.length === sample.length;
      (isCutOff ? listServers() : missedSample).forEach(markUnreached);
    },
    probeUnreached: async () => {
      removeUnknown();
      const known = listServers().filter(({ id }) => unreachedSinceMs.has(id));
      const first = drawSample(known, PROBED_PER_ROUND, randomness);
      const answers = await Promise.all(first.map(probe));
      if (!answers.includes(true)) return;
      const left = known.filter(({ id }) => unreachedSinceMs.has(id));
      const sample = drawSample(left, MAX_PROBED, randomness);
      const missed = await probeAll(sample);
      if (missed.length === 0) left.forEach(({ id }) => markReached(id));
    },
    probeReach: async ({ ids, suspectId }) => {
      const asked = ids
        .slice(0, MAX_PROBED)
        .map(findServer)
        .filter((server) => server !== undefined)
        .filter(({ id }) => !unreachedSinceMs.has(id) && !isRecent(lastMissedAtMs, id));
      const suspects = asked.filter(({ id }) => id === suspectId);
      const [answers, missedOthers, reachesAny] = await Promise.all([
        Promise.all(suspects.map(probe)),
        probeAll(asked.filter(({ id }) => id !== suspectId)),
        suspectId === null ? false : probeAny(suspectId),
      ]);
      const missed = [...suspects.filter((_, index) => !answers[index]), ...missedOthers];
      const reachedIds = asked.filter((server) => !missed.includes(server)).map(({ id }) => id);
      return { reachedIds, reachesAny: reachesAny || reachedIds.length > 0 };
    },
  };
};
