import type { Clock, EventLog, RowError } from '../../../ports';

/** A call to the store. */
export interface StoreCall {
  /** `read` returns all rows; `feed` is a long poll for changes. */
  readonly call: 'read' | 'feed';
  readonly sentAtMs: number;
  readonly waitMs: number;
  /** Aborts the call. */
  readonly abort: AbortController;
}

/** Dependencies of a call tracker. */
export interface CallTrackerDependencies {
  readonly table: string;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when an outage begins. */
  readonly handleOutageStart: () => void;
  /** Called when the store answers again. */
  readonly handleOutageEnd: () => void;
}

/** Tracks successes and failures of the calls for a table, and outages of the store. */
export interface CallTracker {
  startCall(call: StoreCall['call'], waitMs: number): StoreCall;
  recordSuccess(call: StoreCall): void;
  recordFailure(call: StoreCall, error: RowError, version: number): void;
  /** Records that a call's answer is overdue: the store may be away. */
  recordOverdue(): void;
  /** Counts the failures since the last success. */
  countConsecutiveFailures(): number;
  isInOutage(): boolean;
  /** Monotonic time at which the newest outage ended, or null. */
  readOutageEndedAtMs(): number | null;
}

/** Creates a call tracker for one table. */
export const createCallTracker = ({
  clock,
  handleOutageEnd,
  handleOutageStart,
  log,
  table,
}: CallTrackerDependencies): CallTracker => {
  let failures = 0;
  let outageStartedAtMs: number | null = null;
  let outageEndedAtMs: number | null = null;

  const computeTookMs = ({ sentAtMs }: StoreCall): number =>
    Math.round(clock.readMonotonicMs() - sentAtMs);

  const startOutage = (reason: string): void => {
    if (outageStartedAtMs !== null) return;
    outageStartedAtMs = clock.readMonotonicMs();
    log.warn('store lost', { table, reason });
    handleOutageStart();
  };

  return {
    startCall: (call, waitMs) => ({
      call,
      sentAtMs: clock.readMonotonicMs(),
      waitMs,
      abort: new AbortController(),
    }),
    recordSuccess: (call) => {
      failures = 0;
      if (outageStartedAtMs === null) return;
      const lastedMs = Math.round(clock.readMonotonicMs() - outageStartedAtMs);
      outageStartedAtMs = null;
      outageEndedAtMs = clock.readMonotonicMs();
      log.info('store regained', { table, lastedMs, call: call.call, tookMs: computeTookMs(call) });
      handleOutageEnd();
    },
    recordOverdue: () => startOutage('the answer is overdue'),
    recordFailure: (call, error, version) => {
      if (error.kind === 'history-lost') {
        log.warn('history lost, all rows are read anew', { table, version });
        return;
      }
      failures += 1;
      log.warn('store call failed', {
        table,
        call: call.call,
        waitMs: call.waitMs,
        tookMs: computeTookMs(call),
        reason: error.reason,
        failures,
        version,
      });
      startOutage(error.reason);
    },
    countConsecutiveFailures: () => failures,
    isInOutage: () => outageStartedAtMs !== null,
    readOutageEndedAtMs: () => outageEndedAtMs,
  };
};
