import type {
  Caller,
  CallerBatch,
  CallerConnection,
  CallerRequest,
  CallerState,
  EventNotifier,
} from '../types';

/**
 * Creates the record of a caller; each change wakes the steps that wait on the notifier.
 *
 * @param received - batches that the caller received over an earlier connection
 */
export function createCaller(
  request: CallerRequest,
  notifier: EventNotifier,
  received: readonly CallerBatch[] = [],
): Caller {
  let state: CallerState = {
    batches: received,
    tokenIds: received.flatMap((batch) => batch.tokenIds),
    startedMs: performance.now(),
    endedMs: 0,
    end: null,
  };
  let connections = 0;
  const createConnection = (): CallerConnection => {
    connections += 1;
    const own = connections;
    const update = (change: Partial<CallerState>): void => {
      if (own !== connections) return;
      state = { ...state, ...change };
      notifier.record();
    };
    return {
      abort: new AbortController(),
      recordBatch: (batch) =>
        update({
          batches: [...state.batches, batch],
          tokenIds: [...state.tokenIds, ...batch.tokenIds],
        }),
      recordEnd: (end) => update({ end, endedMs: performance.now() }),
    };
  };
  let current = createConnection();
  return {
    request,
    readState: () => state,
    readConnection: () => current,
    startConnection: () => {
      current.abort.abort();
      current = createConnection();
      state = { ...state, end: null };
      notifier.record();
      return current;
    },
  };
}
