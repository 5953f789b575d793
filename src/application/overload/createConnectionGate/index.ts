import { computeAdmittedRate, UNLIMITED_RATE, type AdmittedRate } from '../../../domain/overload';
import type { Clock, EventLog } from '../../ports';

/** Decides which new connections of callers a VM reads. */
export interface ConnectionGate {
  /** False if the connection is to be closed unread: its caller goes to another VM. */
  acceptConnection(): boolean;
  /** Number of connections closed unread since the start. */
  countClosed(): number;
  stop(): void;
}

/** Dependencies of the gate. */
export interface ConnectionGateDependencies {
  readonly clock: Pick<Clock, 'readMonotonicMs' | 'startTimer'>;
  readonly log: EventLog;
  /** Smallest latency goal of the routes in force; `Infinity` without routes. */
  readonly readGoalMs: () => number;
}

/** Interval between timers whose delay tells whether the VM is late. */
const SAMPLE_INTERVAL_MS = 250;

/** The same after a late timer: a single one may be late for a garbage collection. */
const CHECK_INTERVAL_MS = 50;

/** Part of the smallest latency goal by which timers may be late. */
const GOAL_FRACTION = 0.2;

/** The limit ends after this time in which no connection was closed. */
const UNUSED_MS = 2000;

/** Connections that may come at once within the limit, as the time in which it allows them. */
const BURST_MS = 250;

const MS_PER_S = 1000;

/**
 * Creates a gate without a limit.
 *
 * A request that is read and then answered too late is lost to its caller, while a connection that
 * is closed unread takes hardly any time and tells the caller to go to another VM. The VM stays
 * ready, and open connections go on. Nothing runs while no connections come.
 */
export const createConnectionGate = ({
  clock,
  log,
  readGoalMs,
}: ConnectionGateDependencies): ConnectionGate => {
  let rate = UNLIMITED_RATE;
  let tokens = 0;
  let refilledAtMs = 0;
  let admitted = 0;
  let closed = 0;
  let closedInAll = 0;
  let lastUsedAtMs = 0;
  let wasLate = false;
  let judgedAtMs = 0;
  /** When the timer of the current sample is due; null while there is none. */
  let dueMs: number | null = null;
  let cancelTimer = (): void => undefined;

  const isLimited = (): boolean => rate.limitPerS < Infinity;

  const setRate = (next: AdmittedRate, delayMs: number): void => {
    const wasLimited = isLimited();
    rate = next;
    if (isLimited() === wasLimited) return;
    log.warn(isLimited() ? 'connections limited' : 'connections not limited', {
      delayMs: Math.round(delayMs),
      targetPerS: isLimited() ? Math.round(rate.targetPerS) : 0,
      closed: closedInAll,
    });
  };

  const isOverdue = (timerDueMs: number): boolean =>
    clock.readMonotonicMs() - timerDueMs > readGoalMs() * GOAL_FRACTION;

  /** Sets the limit by the connections since the last time. */
  const judge = (timerDueMs: number, isLate: boolean): void => {
    const nowMs = clock.readMonotonicMs();
    const admittedPerS = (admitted * MS_PER_S) / Math.max(1, nowMs - judgedAtMs);
    if (closed > 0 || isLate) lastUsedAtMs = nowMs;
    const isUnused = nowMs - lastUsedAtMs >= UNUSED_MS;
    const next = computeAdmittedRate(rate, { admittedPerS, isLate });
    setRate(isUnused ? UNLIMITED_RATE : next, nowMs - timerDueMs);
    judgedAtMs = nowMs;
    admitted = 0;
    closed = 0;
  };

  const startSample = (): void => {
    const intervalMs = wasLate ? CHECK_INTERVAL_MS : SAMPLE_INTERVAL_MS;
    const timerDueMs = clock.readMonotonicMs() + intervalMs;
    dueMs = timerDueMs;
    cancelTimer = clock.startTimer(intervalMs, () => {
      const isIdle = admitted + closed === 0 && !isLimited();
      const isLate = isOverdue(timerDueMs);
      judge(timerDueMs, isLate && wasLate);
      wasLate = isLate;
      dueMs = null;
      if (!isIdle) startSample();
    });
  };

  /** A second timer in a row that is overdue shows an overload, before it has run. */
  const checkTimer = (): void => {
    if (dueMs === null) {
      judgedAtMs = clock.readMonotonicMs();
      startSample();
    } else if (wasLate && isOverdue(dueMs)) {
      if (clock.readMonotonicMs() - judgedAtMs >= CHECK_INTERVAL_MS) judge(dueMs, true);
    }
  };

  const takeToken = (): boolean => {
    if (!isLimited()) return true;
    const { limitPerS } = rate;
    const nowMs = clock.readMonotonicMs();
    const most = Math.max(1, (limitPerS * BURST_MS) / MS_PER_S);
    tokens = Math.min(most, tokens + ((nowMs - refilledAtMs) * limitPerS) / MS_PER_S);
    refilledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };

  return {
    acceptConnection: () => {
      checkTimer();
      const isAccepted = takeToken();
      if (isAccepted) admitted += 1;
      else {
        closed += 1;
        closedInAll += 1;
      }
      return isAccepted;
    },
    countClosed: () => closedInAll,
    stop: () => cancelTimer(),
  };
};
