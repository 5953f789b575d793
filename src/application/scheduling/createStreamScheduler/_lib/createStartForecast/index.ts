import {
  compareRequestClasses,
  computeStartRate,
  formatRequestClass,
  isShareOwed,
  predictQueueWaitMs,
  type RequestClass,
  type ScheduledServer,
  type StreamDemand,
} from '../../../../../domain/scheduling';
import { createEventRate, type EventRate } from '../createEventRate';
import type { PromptTimes } from '../createServerViews';

/** A typical stream of the service. */
export interface TypicalDemand extends PromptTimes {
  readonly leftMs: number;
}

/** What the wait of a demand depends on besides the last seconds. */
export interface WaitInputs {
  readonly ahead: number;
  readonly aheadInClass: number;
  readonly isLate: boolean;
  readonly startsPerS: number;
}

/** Predicts when servers can begin streams, from the last seconds. */
export interface StartForecast {
  readTypical(): TypicalDemand;
  recordDemand(demand: StreamDemand, goalMs: number): void;
  /** Records a demand that was accepted: granted, or queued. */
  recordAccepted(requestClass: RequestClass, nowMs: number): void;
  recordRefused(requestClass: RequestClass, nowMs: number): void;
  recordStart(requestClass: RequestClass, nowMs: number): void;
  /** Records whether demands wait. */
  recordBacklog(isBacklogged: boolean, nowMs: number): void;
  readStartsPerS(servers: readonly ScheduledServer[], nowMs: number): number;
  predictWaitMs(requestClass: RequestClass, options: WaitInputs, nowMs: number): number;
  /** True if a more urgent class had demands in the last seconds. */
  hasMoreUrgent(requestClass: RequestClass, nowMs: number): boolean;
  /** True if the class is to get a start although the more urgent class waits. */
  isOwed(requestClass: RequestClass, urgent: RequestClass, nowMs: number): boolean;
}

/** Time over which demands and starts are counted by class. */
const WINDOW_MS = 3000;

/** Time over which starts are measured: about a run, since runs that began together end together. */
const BACKLOG_WINDOW_MS = 8000;

/** Weight of the model beside the measured starts, in seconds of measurement. */
const MODEL_S = 2;

/** The model is computed anew after this time. */
const MODEL_AGE_MS = 300;

const MS_PER_S = 1000;

/** Weight of the newest demand in the typical one. */
const NEWEST_WEIGHT = 0.05;

interface ClassRates {
  readonly requestClass: RequestClass;
  readonly accepted: EventRate;
  readonly refused: EventRate;
  readonly starts: EventRate;
}

const blend = (old: number, value: number): number => old + (value - old) * NEWEST_WEIGHT;

/** Creates a forecast without knowledge. */
export const createStartForecast = (): StartForecast => {
  const classes = new Map<string, ClassRates>();
  const backlogStarts = createEventRate(BACKLOG_WINDOW_MS);
  let backlogSinceMs: number | null = null;
  let typical: TypicalDemand | null = null;
  let model = { atMs: -Infinity, startsPerS: 0 };

  const findRates = (requestClass: RequestClass): ClassRates => {
    const key = formatRequestClass(requestClass);
    const known = classes.get(key);
    if (known) return known;
    const created = {
      requestClass,
      accepted: createEventRate(WINDOW_MS),
      refused: createEventRate(WINDOW_MS),
      starts: createEventRate(WINDOW_MS),
    };
    classes.set(key, created);
    return created;
  };
  const readTypical = (): TypicalDemand =>
    typical ?? { promptTokens: 1, outputTokens: 1, goalMs: MS_PER_S, leftMs: MS_PER_S };
  const listMoreUrgent = (requestClass: RequestClass): readonly ClassRates[] =>
    [...classes.values()].filter(
      (one) => compareRequestClasses(one.requestClass, requestClass) < 0,
    );
  const hasMoreUrgent = (requestClass: RequestClass, nowMs: number): boolean =>
    listMoreUrgent(requestClass).some(
      ({ accepted, refused }) => accepted.count(nowMs) + refused.count(nowMs) > 0,
    );

  return {
    readTypical,
    recordDemand: ({ leftMs, outputTokens, promptTokens }, goalMs) => {
      const old = typical ?? { leftMs, outputTokens, promptTokens, goalMs };
      typical = {
        leftMs: blend(old.leftMs, leftMs),
        outputTokens: blend(old.outputTokens, outputTokens),
        promptTokens: blend(old.promptTokens, promptTokens),
        goalMs: blend(old.goalMs, goalMs),
      };
    },
    recordAccepted: (requestClass, nowMs) => findRates(requestClass).accepted.record(nowMs),
    recordRefused: (requestClass, nowMs) => findRates(requestClass).refused.record(nowMs),
    recordStart: (requestClass, nowMs) => {
      findRates(requestClass).starts.record(nowMs);
      if (backlogSinceMs !== null) backlogStarts.record(nowMs);
    },
    recordBacklog: (isBacklogged, nowMs) => {
      if (!isBacklogged) backlogSinceMs = null;
      else backlogSinceMs ??= nowMs;
    },
    readStartsPerS: (servers, nowMs) => {
      if (servers.length > 0 && nowMs - model.atMs >= MODEL_AGE_MS) {
        const usable = servers.filter(({ isUsable }) => isUsable);
        // Servers that failed together mostly return together.
        const counted = usable.length > 0 ? usable : servers;
        model = { atMs: nowMs, startsPerS: computeStartRate(counted, readTypical()) };
      }
      if (backlogSinceMs === null) return model.startsPerS;
      const measuredS = Math.min(BACKLOG_WINDOW_MS, nowMs - backlogSinceMs) / MS_PER_S;
      const measured = backlogStarts.count(nowMs, backlogSinceMs);
      return (measured + model.startsPerS * MODEL_S) / (measuredS + MODEL_S);
    },
    predictWaitMs: (requestClass, { ahead, aheadInClass, isLate, startsPerS }, nowMs) => {
      const moreUrgent = listMoreUrgent(requestClass);
      const overtaking = isLate ? [...moreUrgent, findRates(requestClass)] : moreUrgent;
      return predictQueueWaitMs({
        ahead,
        aheadInClass,
        startsPerS,
        overtakingPerS: overtaking.reduce((sum, one) => sum + one.accepted.readPerS(nowMs), 0),
        hasShare: !isLate && moreUrgent.some(({ refused }) => refused.count(nowMs) > 0),
      });
    },
    hasMoreUrgent,
    isOwed: (requestClass, urgent, nowMs) => {
      const urgentRates = findRates(urgent);
      return isShareOwed({
        isUrgentOverloaded: urgentRates.refused.count(nowMs) > 0,
        urgentStarts: urgentRates.starts.count(nowMs),
        otherStarts: findRates(requestClass).starts.count(nowMs),
      });
    },
  };
};
