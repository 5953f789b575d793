import { err, type Result } from 'neverthrow';
import type { Clock, RowChanges, RowError, RowSource } from '../../../src/application/ports';
import type { VmClock } from '../createVmClock';

/**
 * How a VM reaches the store: `lost`, calls get no answer; `refused`, they are answered with a failure;
 * `reset`, their connections are closed, as are those of waiting calls.
 */
export type StoreReachability = 'open' | 'lost' | 'refused' | 'reset';

/** The store as one VM reaches it. */
export interface VmStore extends RowSource {
  setReachability(path: StoreReachability): void;
  /** Sets the additional delay of answers. */
  setDelay(delayMs: number): void;
  /** The next calls get no answer, as if sent on connections that are dead. */
  loseCalls(count: number): void;
  countCalls(): number;
}

/** A call times out this long after its answer was due. */
const CALL_TIMEOUT_MARGIN_MS = 600;

const NO_ANSWER = err({ kind: 'unavailable', reason: 'no answer in time' } as const);
const REFUSED = err({ kind: 'unavailable', reason: 'status 503' } as const);
const RESET = err({ kind: 'unavailable', reason: 'ECONNRESET' } as const);

/** Creates the connection of a VM to the store. */
export const createVmStore = (store: RowSource, clock: Clock, vmClock: VmClock): VmStore => {
  let path: StoreReachability = 'open';
  let delayMs = 0;
  let calls = 0;
  /** Number of outages so far; answers in flight at the start of one are lost. */
  let outages = 0;
  let callsToLose = 0;
  /** Ends of the calls that wait. */
  const waiting = new Set<(answer: Result<RowChanges, RowError>) => void>();

  type Answer = Result<RowChanges, RowError>;

  const call = (
    waitMs: number,
    send: () => Promise<Answer>,
    signal?: AbortSignal,
  ): Promise<Answer> =>
    new Promise((resolve) => {
      calls += 1;
      const outagesBefore = outages;
      let isOver = false;
      const end = (answer: Answer): void => {
        if (isOver) return;
        isOver = true;
        waiting.delete(end);
        vmClock.runInVm(() => resolve(answer));
      };
      signal?.addEventListener('abort', () => end(NO_ANSWER));
      if (path === 'refused' || path === 'reset') {
        const failure = path === 'reset' ? RESET : REFUSED;
        clock.startTimer(2, () => end(failure));
        return;
      }
      waiting.add(end);
      clock.startTimer(waitMs + CALL_TIMEOUT_MARGIN_MS, () => end(NO_ANSWER));
      const isLost = callsToLose > 0 && path === 'open';
      if (isLost) callsToLose -= 1;
      if (path === 'lost' || isLost) return;
      send()
        .then((answer) => {
          clock.startTimer(delayMs, () => {
            if (outages === outagesBefore) end(answer);
          });
        })
        .catch(() => end(NO_ANSWER));
    });

  return {
    readRows: (table, options, signal) =>
      call(0, () => store.readRows(table, options, signal), signal),
    followRows: (table, options, signal) =>
      call(options.waitMs, () => store.followRows(table, options, signal), signal),
    setReachability: (next) => {
      if (next !== 'open') outages += 1;
      path = next;
      if (next === 'reset') [...waiting].forEach((end) => end(RESET));
    },
    loseCalls: (count) => {
      callsToLose = count;
    },
    setDelay: (next) => {
      delayMs = next;
    },
    countCalls: () => calls,
  };
};
