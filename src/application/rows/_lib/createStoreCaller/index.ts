import type { Result } from 'neverthrow';
import type { StoreTimes } from '../../../../domain/forwarding';
import type { Clock, Randomness, RowChanges, RowError, RowSource } from '../../../ports';
import type { CallTracker, StoreCall } from '../createCallTracker';
import { repeatUntilAnswered, type RepeatedCall, type SentCall } from '../repeatUntilAnswered';

/** An answer of the store. */
export interface StoreAnswer {
  readonly call: StoreCall;
  /** Null if the store can no longer list the changes: all rows must be read. */
  readonly changes: RowChanges | null;
}

/** Dependencies of a store caller. */
export interface StoreCallerDependencies {
  readonly table: string;
  readonly store: RowSource;
  readonly calls: CallTracker;
  readonly times: Pick<StoreTimes, 'overdueMs' | 'repeatMs'>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Asked before each repetition; once false, a call ends without an answer. */
  readonly isWanted: () => boolean;
  /** While false, a call is put off; `attempt` counts its repetitions from 0. */
  readonly maySend: (attempt: number) => boolean;
  /** Ends all calls. */
  readonly signal: AbortSignal;
}

/** Calls the store for the rows of one table. */
export interface StoreCaller {
  /** Reads all rows until the store answers; null if the call is not wanted any more. */
  readAll(): Promise<StoreAnswer | null>;
  /** Waits for changes after a version until the store answers; null if the call is not wanted. */
  follow(version: number, waitMs: number): Promise<StoreAnswer | null>;
  /** Sends one call; null if it fails. */
  callOnce(kind: StoreCall['call'], version: number): Promise<StoreAnswer | null>;
  /** Computes the pause after some failures in a row, in milliseconds. */
  computePauseMs(failures: number): number;
  /** The newest call that waits for changes, or null. */
  readWaiting(): StoreCall | null;
  /** Gives up the waiting call, if there is one, and asks anew. */
  renewCall(reason: string): void;
}

/** Shortest pause after a call that failed at once. */
const MIN_PAUSE_MS = 100;

/** Time for the rest of an answer whose first part has arrived: the largest takes 1.2 s. */
const TRANSFER_MS = 1500;

/** Creates the caller of the store for one table. */
export const createStoreCaller = ({
  calls,
  clock,
  isWanted,
  maySend,
  randomness,
  signal,
  store,
  table,
  times,
}: StoreCallerDependencies): StoreCaller => {
  let waiting: StoreCall | null = null;
  let repeated: RepeatedCall<StoreAnswer> | null = null;
  let giveUpReason: string | null = null;

  const computePauseMs = (failures: number): number => {
    const boundMs = Math.min(times.repeatMs, MIN_PAUSE_MS * 2 ** Math.max(0, failures - 1));
    return boundMs * (0.5 + randomness.readFraction() / 2);
  };

  const request = (
    call: StoreCall,
    version: number,
    {
      handleProgress,
      isRepeat,
    }: { readonly handleProgress: () => void; readonly isRepeat: boolean },
  ): Promise<Result<RowChanges, RowError>> => {
    const options = { isRepeat, handleProgress };
    const callSignal = AbortSignal.any([signal, call.abort.signal]);
    return call.call === 'read'
      ? store.readRows(table, options, callSignal)
      : store.followRows(table, { ...options, version, waitMs: call.waitMs }, callSignal);
  };

  const sendCall = (
    call: StoreCall,
    version: number,
    options: { readonly handleProgress: () => void; readonly isRepeat: boolean },
  ): Omit<SentCall<StoreAnswer>, 'dueMs'> => {
    let isCancelled = false;
    const read = async (): Promise<StoreAnswer | null> => {
      const answered = await request(call, version, options);
      if (answered.isOk()) return { call, changes: answered.value };
      if (signal.aborted || isCancelled) return null;
      const { error } = answered;
      const isGivenUp = call.abort.signal.aborted && error.kind === 'unavailable';
      const reason = isGivenUp ? giveUpReason : null;
      calls.recordFailure(call, reason === null ? error : { kind: 'unavailable', reason }, version);
      return error.kind === 'history-lost' ? { call, changes: null } : null;
    };
    return {
      answer: read(),
      cancel: () => {
        isCancelled = true;
        call.abort.abort();
      },
    };
  };

  const repeatCall = async (
    kind: StoreCall['call'],
    version: number,
    firstWaitMs: number,
  ): Promise<StoreAnswer | null> => {
    const handleProgress = (): void => repeated?.postpone(TRANSFER_MS);
    repeated = repeatUntilAnswered<StoreAnswer>({
      clock,
      computePauseMs,
      isWanted,
      maySend,
      signal,
      send: (attempt) => {
        // After a failure a call does not wait: it would not show that the outage ended.
        const waitMs = attempt === 0 && calls.countConsecutiveFailures() === 0 ? firstWaitMs : 0;
        if (attempt > 0 && waiting) calls.recordOverdue();
        const call = calls.startCall(kind, waitMs);
        waiting = call;
        const dueMs = waitMs + (attempt === 0 ? times.overdueMs : times.repeatMs);
        return { ...sendCall(call, version, { handleProgress, isRepeat: attempt > 0 }), dueMs };
      },
    });
    const answer = await repeated.answer;
    waiting = null;
    repeated = null;
    return answer;
  };

  return {
    readAll: () => repeatCall('read', 0, 0),
    follow: (version, waitMs) => repeatCall('feed', version, waitMs),
    callOnce: (kind, version) => {
      const options = { handleProgress: () => undefined, isRepeat: false };
      return sendCall(calls.startCall(kind, 0), version, options).answer;
    },
    computePauseMs,
    readWaiting: () => waiting,
    renewCall: (reason) => {
      if (!waiting) return;
      giveUpReason = reason;
      waiting.abort.abort();
      repeated?.repeatNow();
    },
  };
};
