import { hasQueueCapacity } from '../../../../../domain/admission';
import { computeRetryAfterMs } from '../../../../../domain/forwarding';
import type { ServerPace } from '../../../../../domain/paces';
import {
  compareRequestClasses,
  computeMaxWaitMs,
  computeRunMs,
  decideWaiting,
  type ScheduledServer,
  type StreamDemand,
  type WaitingDecision,
} from '../../../../../domain/scheduling';
import type { QueuedDemand } from '../createDemandQueue';
import type { StartForecast } from '../createStartForecast';
import { readDemandAt } from '../readDemandAt';

/** What the decision on a demand depends on besides the demand. */
export interface DemandDecisionOptions {
  /** All waiting demands, including this one, in the order in which they are served. */
  readonly entries: readonly QueuedDemand[];
  readonly servers: readonly ScheduledServer[];
  readonly forecast: StartForecast;
  readonly servicePace: ServerPace;
  readonly startsPerS: number;
  readonly nowMs: number;
  readonly draw: number;
}

/** Maximum number of waiting demands: each check looks at all of them. */
const MAX_WAITING = 2000;

/** Lowest limit of waiting demands, where the rate of starts is low or not known yet. */
const MIN_WAITING = 8;

const MS_PER_S = 1000;

/** Counts the demands of the same class that are served before one. */
export const countAheadInClass = (
  entries: readonly QueuedDemand[],
  entry: QueuedDemand,
): number => {
  const first = entries.findIndex(
    ({ requestClass }) => compareRequestClasses(requestClass, entry.requestClass) === 0,
  );
  return Math.max(0, entries.indexOf(entry) - first);
};

/** Counts the streams like this one, and their copies, that a server has slots and memory for. */
const countPlaces = (
  { kvTotalTokens, slots }: ScheduledServer,
  { needsBackup, outputTokens, promptTokens }: StreamDemand,
): number => {
  const kvTokens = (promptTokens + outputTokens) * (needsBackup ? 2 : 1);
  return kvTotalTokens > 0 ? Math.min(slots, Math.floor(kvTotalTokens / kvTokens)) : slots;
};

/** True if no server's memory holds the stream, even without other runs. */
const isTooLarge = (
  { outputTokens, promptTokens }: StreamDemand,
  servers: readonly ScheduledServer[],
): boolean =>
  servers.length > 0 &&
  servers.every(
    ({ kvTotalTokens }) => kvTotalTokens > 0 && kvTotalTokens < promptTokens + outputTokens,
  );

/** True if the queue, as seen by the demand's class, has room for its workspace. */
const hasRoomInQueue = (
  entry: QueuedDemand,
  {
    entries,
    goalLeftMs,
    startsPerS,
  }: Pick<DemandDecisionOptions, 'entries' | 'startsPerS'> & { readonly goalLeftMs: number },
): boolean => {
  const { demand, requestClass } = entry;
  const others = entries.filter(
    (other) => other !== entry && compareRequestClasses(other.requestClass, requestClass) <= 0,
  );
  const beginnable = Math.ceil((startsPerS * Math.max(0, goalLeftMs)) / MS_PER_S);
  return hasQueueCapacity({
    waiting: others.length,
    waitingOfWorkspace: others.filter((other) => other.demand.workspace === demand.workspace)
      .length,
    maxWaiting: Math.min(MAX_WAITING, Math.max(MIN_WAITING, beginnable)),
    relativeWeight: 1,
  });
};

/** Decides whether a demand that can't begin now waits; see `decideWaiting`. */
export const decideDemand = (
  entry: QueuedDemand,
  { draw, entries, forecast, nowMs, servers, servicePace, startsPerS }: DemandDecisionOptions,
): WaitingDecision => {
  const demand = readDemandAt(entry, nowMs);
  const { goalLeftMs, isResumed, isReturning, leftMs, requestClass } = demand;
  if (isTooLarge(demand, servers))
    return { kind: 'refuse', reason: 'no server has enough memory', returnMs: 0 };
  // A stream that has begun is never refused for lack of room.
  if (isResumed) return { kind: 'wait', predictedMs: 0, isLate: entry.isLate };

  const ahead = entries.indexOf(entry);
  const aheadInClass = countAheadInClass(entries, entry);
  const waitMs = forecast.predictWaitMs(
    requestClass,
    { ahead, aheadInClass, isLate: false, startsPerS },
    nowMs,
  );
  const lateWaitMs = forecast.predictWaitMs(
    requestClass,
    { ahead: entries.length - 1, aheadInClass, isLate: true, startsPerS },
    nowMs,
  );
  if (!entry.isLate && !hasRoomInQueue(entry, { entries, goalLeftMs, startsPerS })) {
    const returnMs = isReturning ? 0 : computeRetryAfterMs({ waitMs, outageMs: 0, leftMs, draw });
    return { kind: 'refuse', reason: 'the workspace has too many waiting streams', returnMs };
  }
  const { goalMs, outputTokens, promptTokens } = demand;
  const duration = computeRunMs(servicePace, { goalMs, outputTokens, promptTokens, runs: 1 });
  const slots = Math.max(1, ...servers.map((server) => countPlaces(server, demand)));
  return decideWaiting({
    ...duration,
    draw,
    goalLeftMs,
    isReturning,
    lateWaitMs,
    leftMs,
    maxWaitMs: computeMaxWaitMs({ ...duration, leftMs, slots }),
    waitMs,
  });
};
