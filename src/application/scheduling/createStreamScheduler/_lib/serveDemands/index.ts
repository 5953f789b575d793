import {
  chooseScheduledServer,
  compareRequestClasses,
  computeRunMs,
  isServerAllowed,
  isServerOpen,
  START_MARGIN_MS,
  type RequestClass,
  type ScheduledServer,
  type ServerChoice,
} from '../../../../../domain/scheduling';
import type { ServerPace } from '../../../../../domain/paces';
import type { QueuedDemand } from '../createDemandQueue';
import type { StartForecast } from '../createStartForecast';
import { readDemandAt } from '../readDemandAt';
import { readTimesAt } from '../readTimesAt';

/** Inputs of one pass over the waiting demands. */
export interface ServeOptions {
  /** In the order in which they are served. */
  readonly entries: readonly QueuedDemand[];
  readonly servers: readonly ScheduledServer[];
  readonly forecast: Pick<StartForecast, 'hasMoreUrgent' | 'isOwed'>;
  readonly servicePace: ServerPace;
  readonly nowMs: number;
  /** Grants a server to a demand. */
  readonly grant: (entry: QueuedDemand, choice: ServerChoice) => void;
  /** Reads the state of a server after a grant. */
  readonly readServer: (id: string) => ScheduledServer | null;
}

/**
 * Demands of a class that are tried although they do not fit: a later one may have more time left or
 * exclude fewer servers.
 */
const MAX_TRIES = 8;

/**
 * A stream with less time than this between its prefill and its goal may use a server beyond the
 * limit that leaves time to repeat a run: it would be refused otherwise.
 */
const LAST_CHANCE_MS = 300 + START_MARGIN_MS;

/** Runs beside which a stream must be able to end in time for others to wait behind it. */
const USUAL_RUNS = 2;

/** Checks whether a demand that does not fit holds back the less urgent ones. */
const isBlocking = (
  entry: QueuedDemand,
  { nowMs, servers, servicePace }: Pick<ServeOptions, 'nowMs' | 'servers' | 'servicePace'>,
): boolean => {
  const { goalMs, leftMs } = readTimesAt(entry, nowMs);
  const { outputTokens, promptTokens } = entry.demand;
  const options = { goalMs, outputTokens, promptTokens, runs: USUAL_RUNS };
  const { runMs } = computeRunMs(servicePace, options);
  const hasServer = servers.some((server) => isServerAllowed(server, entry.demand));
  return !entry.isLate && hasServer && 2 * runMs <= leftMs;
};

/** Finds the demand of a less urgent class that is to get a start before the most urgent class. */
const findOwed = ({
  entries,
  forecast,
  nowMs,
}: Pick<ServeOptions, 'entries' | 'forecast' | 'nowMs'>): QueuedDemand | null => {
  const [first] = entries;
  if (!first) return null;
  // Once for each class: the entries are in the order of their classes.
  const owed = entries.find(
    ({ isLate, requestClass }, index) =>
      !isLate &&
      compareRequestClasses(requestClass, first.requestClass) > 0 &&
      compareRequestClasses(requestClass, entries[index - 1]?.requestClass ?? requestClass) > 0 &&
      forecast.isOwed(requestClass, first.requestClass, nowMs),
  );
  return owed ?? null;
};

/**
 * Grants servers to waiting demands until no further one can begin.
 *
 * A demand that does not fit holds back all less urgent ones, so that they do not take the room
 * that it waits for; unless it waits for a server of its own, or has missed its goal.
 *
 * @returns the servers with what was granted
 */
export const serveDemands = ({
  entries,
  forecast,
  grant,
  nowMs,
  readServer,
  servers,
  servicePace,
}: ServeOptions): readonly ScheduledServer[] => {
  const current = [...servers];
  const started = new Set<QueuedDemand>();

  let openServers = current.filter(isServerOpen).length;

  const start = (entry: QueuedDemand, isOwed = false): boolean => {
    if (started.has(entry)) return true;
    const demand = readDemandAt(entry, nowMs);
    const { goalMs, outputTokens, promptTokens } = demand;
    const options = { goalMs, outputTokens, promptTokens, runs: 1 };
    const spareMs = demand.goalLeftMs - computeRunMs(servicePace, options).prefillMs;
    const choice = chooseScheduledServer(current, demand, {
      goalMs,
      isLastChance: isOwed || (!entry.isLate && spareMs < LAST_CHANCE_MS),
      isBackupRequired: !entry.isResumed && forecast.hasMoreUrgent(entry.requestClass, nowMs),
      ignoresLimits: entry.isResumed,
    });
    if (!choice) return false;
    started.add(entry);
    grant(entry, choice);
    [choice.server, choice.backup].forEach((changed) => {
      const updated = changed && readServer(changed.id);
      if (updated) current[current.findIndex(({ id }) => id === updated.id)] = updated;
    });
    openServers = current.filter(isServerOpen).length;
    return true;
  };

  entries.filter(({ isResumed }) => isResumed).forEach((entry) => start(entry));

  const [first] = entries;
  if (!first) return current;
  const owed = findOwed({ entries, forecast, nowMs });
  // The more urgent ones keep the servers beyond the limit that leaves time to repeat a run.
  if (owed && openServers > 0) start(owed, true);

  let blocked: RequestClass | null = null;
  let tried: RequestClass = first.requestClass;
  let tries = 0;
  for (const entry of entries) {
    // Under load most passes find no open server: the demands need not be looked at then.
    if (openServers === 0) return current;
    const { requestClass } = entry;
    if (blocked !== null && compareRequestClasses(requestClass, blocked) > 0) return current;
    if (compareRequestClasses(requestClass, tried) !== 0) tries = 0;
    tried = requestClass;
    if (tries < MAX_TRIES && !start(entry)) {
      tries += 1;
      if (blocked === null && isBlocking(entry, { nowMs, servers: current, servicePace }))
        blocked = requestClass;
    }
  }
  return current;
};
