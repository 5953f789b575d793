import type { ServerEntry } from '../../../domain/forwarding';
import { drawSample } from '../../_lib/drawSample';
import type { Clock, EventLog, Randomness } from '../../ports';
import { createServerProber } from '../_lib/createServerProber';
import { createProbeAllowance } from '../createProbeAllowance';
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
  /** Records a request of a caller: what this VM asks grows with these. */
  recordRequest(): void;
  /** Takes up to `count` questions to other VMs; returns how many may be asked. */
  takeQuestions(count: number): number;
  /** True if a server may be probed now. */
  mayProbe(): boolean;
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

/** Answers within this time tell another VM that a server is reached; a request shows if it is not. */
const KNOWN_ANSWER_MS = 10_000;

/** Fewest servers without an answer from which a VM concludes that it reaches none of the others. */
const MIN_SAMPLE = 4;

/** Probes that samples and rounds leave for checks of failed servers and for questions. */
const RESERVED_PROBES = 10;

/** Creates the reach of this VM, which takes all servers as reached. */
export const createServerReach = ({
  clock,
  listServers,
  log,
  probeServer,
  randomness,
}: ServerReachDependencies): ServerReach => {
  /** By id of a server that was not reached: since when. */
  const allowance = createProbeAllowance(clock);
  const unreachedSinceMs = new Map<string, number>();
  const lastAnswerAtMs = new Map<string, number>();
  const lastConnectedAtMs = new Map<string, number>();
  const lastMissedAtMs = new Map<string, number>();

  const findServer = (id: string): ServerEntry | undefined =>
    listServers().find((server) => server.id === id);

  const isRecent = (
    times: ReadonlyMap<string, number>,
    id: string,
    maxAgeMs = RECENT_ANSWER_MS,
  ): boolean => clock.readMonotonicMs() - (times.get(id) ?? -Infinity) < maxAgeMs;

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

  const { probe, probeSome } = createServerProber({
    allowance,
    probeServer,
    recordAnswer: (id) => recordAnswer(id, { isNewConnection: true }),
    recordMiss: (id) => lastMissedAtMs.set(id, clock.readMonotonicMs()),
  });

  /** The same, for those that did not connect a moment ago. */
  const probeOthers = (servers: readonly ServerEntry[], reserve: number) =>
    probeSome(
      servers.filter(({ id }) => !isRecent(lastConnectedAtMs, id)),
      reserve,
    );

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
    if (!control || allowance.take(1) === 0) return false;
    return probe(control);
  };

  return {
    isReached: (id) => !unreachedSinceMs.has(id),
    drawUnreached: () => drawSample([...unreachedSinceMs.keys()], MAX_PROBED, randomness),
    countUnreached: () => unreachedSinceMs.size,
    isCutOff: () => listServers().every(({ id }) => unreachedSinceMs.has(id)),
    hasReachedAny,
    forgetServer,
    recordRequest: allowance.recordRequest,
    takeQuestions: (count) => allowance.take(count),
    mayProbe: allowance.hasAny,
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
      const [{ missed, probed }, { missed: missedControls }] = await Promise.all([
        probeSome(suspects, 0),
        probeOthers(controls, 0),
      ]);
      [...missed, ...missedControls].forEach(markUnreached);
      if (missed.length === 0 || (missedControls.length === 0 && controls.length > 0)) return;
      const candidates = drawOthers(listServers(), excludedIds, MAX_PROBED);
      const isReachedAny = candidates.some(({ id }) => isRecent(lastConnectedAtMs, id));
      const sample = await probeOthers(candidates, RESERVED_PROBES);
      // A VM that reaches none of those probed reaches none of the others either.
      const isCutOff =
        !isReachedAny &&
        missed.length === probed.length &&
        sample.missed.length === sample.probed.length &&
        sample.probed.length >= Math.min(MIN_SAMPLE, candidates.length);
      (isCutOff ? listServers() : sample.missed).forEach(markUnreached);
    },
    probeUnreached: async () => {
      removeUnknown();
      const known = listServers().filter(({ id }) => unreachedSinceMs.has(id));
      const first = drawSample(known, PROBED_PER_ROUND, randomness);
      const { missed, probed } = await probeSome(first, RESERVED_PROBES);
      if (missed.length === probed.length) return;
      const left = known.filter(({ id }) => unreachedSinceMs.has(id));
      const sample = await probeOthers(drawSample(left, MAX_PROBED, randomness), RESERVED_PROBES);
      const isEnough = sample.probed.length >= Math.min(MIN_SAMPLE, left.length);
      if (isEnough && sample.missed.length === 0) left.forEach(({ id }) => markReached(id));
    },
    probeReach: async ({ ids, suspectId }) => {
      const asked = ids
        .slice(0, MAX_PROBED)
        .map(findServer)
        .filter((server) => server !== undefined)
        .filter(({ id }) => !unreachedSinceMs.has(id) && !isRecent(lastMissedAtMs, id));
      const suspects = asked.filter(({ id }) => id === suspectId);
      const others = asked.filter(({ id }) => id !== suspectId);
      const known = others.filter(({ id }) => isRecent(lastAnswerAtMs, id, KNOWN_ANSWER_MS));
      const [answers, unknown, reachesAny] = await Promise.all([
        probeSome(suspects, 0),
        probeSome(
          others.filter((server) => !known.includes(server)),
          RESERVED_PROBES,
        ),
        suspectId === null ? false : probeAny(suspectId),
      ]);
      const missed = [...answers.missed, ...unknown.missed];
      const reachedIds = [...known, ...answers.probed, ...unknown.probed]
        .filter((server) => !missed.includes(server))
        .map(({ id }) => id);
      return { reachedIds, reachesAny: reachesAny || reachedIds.length > 0 };
    },
  };
};
