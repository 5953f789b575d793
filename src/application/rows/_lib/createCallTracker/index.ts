import type { Clock, EventLog, RowError } from '../../../ports';

/** A call to the store. */
export interface StoreCall {
  /** `read` gives all rows, `feed` waits for changes. */
  readonly call: 'read' | 'feed';
  readonly sentAtMs: number;
  readonly waitMs: number;
  /** Gives the call up. */
  readonly abort: AbortController;
}

/** What a record of calls needs. */
export interface CallTrackerDependencies {
  readonly table: string;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Called when an outage begins. */
  readonly handleOutageStart: () => void;
}

/** Knows how the calls for a table went, and whether the store answers. */
export interface CallTracker {
  startCall(call: StoreCall['call'], waitMs: number): StoreCall;
  recordSuccess(call: StoreCall): void;
  recordFailure(call: StoreCall, error: RowError, version: number): void;
  /** Failures since the last success. */
  countConsecutiveFailures(): number;
  isInOutage(): boolean;
  /** Monotonic time at which the newest outage ended, or null. */
  readOutageEndedAtMs(): number | null;
}

/** Creates the record of the calls for one table. */
export const createCallTracker = ({
  clock,
  handleOutageStart,
  log,
  table,
}: CallTrackerDependencies): CallTracker => {
  let failures = 0;
  let outageStartedAtMs: number | null = null;
  let outageEndedAtMs: number | null = null;

  const readTookMs = ({ sentAtMs }: StoreCall): number =>
    Math.round(clock.readMonotonicMs() - sentAtMs);

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
      log.info('store regained', { table, lastedMs, call: call.call, tookMs: readTookMs(call) });
    },
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
        tookMs: readTookMs(call),
        reason: error.reason,
        failures,
        version,
      });
      if (outageStartedAtMs !== null) return;
      outageStartedAtMs = clock.readMonotonicMs();
      log.warn('store lost', { table, reason: error.reason, version });
      handleOutageStart();
    },
    countConsecutiveFailures: () => failures,
    isInOutage: () => outageStartedAtMs !== null,
    readOutageEndedAtMs: () => outageEndedAtMs,
  };
};
