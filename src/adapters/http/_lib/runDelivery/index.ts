import type { Result } from 'neverthrow';
import { RunState } from '../../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../../../application/ports';
import type { AnswerShape, CallerContext, CallerDependencies, Delivery } from '../../types';
import { sendError } from '../sendError';
import { sendEventStream } from '../sendEventStream';
import { sendJsonAnswer } from '../sendJsonAnswer';
import { endWorkOnClose, watchResponse } from '../watchResponse';

/** What is to be delivered. */
export interface DeliverySource {
  readonly openFeed: (signal: AbortSignal) => Promise<Result<GenerationFeed, GenerationError>>;
  /** The answer's shape but for its id, which the feed gives. */
  readonly shape: Omit<AnswerShape, 'createdS' | 'generationId'>;
  readonly stream: boolean;
  /** False: coming back without a cursor must not start the work again. */
  readonly idempotent: boolean;
  /** What a refusal by this entry says of the generation. */
  readonly runStateIfRefused: RunState;
}

const HAND_OVER_ERROR: GenerationError = {
  code: 'handed_over',
  message: 'This entry is shutting down; go on at another one with the last cursor.',
  status: 503,
  runState: RunState.Ran,
  retryAfterMs: 1,
};

/** Builds a promise of a signal's abort, so that each wait needs no listener of its own. */
const buildAbortPromise = (signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });

/**
 * Opens a generation's feed and delivers it to the caller, streamed or whole.
 *
 * A caller that goes away detaches: the generation runs on, and it can come back with its cursor.
 */
export const runDelivery = async (
  context: CallerContext,
  dependencies: CallerDependencies,
  source: DeliverySource,
): Promise<Response> => {
  const { clock, shutdown } = dependencies;
  const startedMs = clock.readMonotonicMs();
  const watch = watchResponse(context.env.outgoing);
  const handOver = new AbortController();
  const work = shutdown.startWork(() => handOver.abort());
  if (work === null) {
    const runState = source.runStateIfRefused;
    return sendError(context, { kind: 'shutting-down' }, { runState });
  }
  const stop = AbortSignal.any([watch.signal, handOver.signal]);
  const handOverError = { ...HAND_OVER_ERROR, retryAfterMs: source.idempotent ? 1 : 0 };
  try {
    const opened = await source.openFeed(stop);
    if (opened.isErr()) return sendError(context, { kind: 'failed', error: opened.error });
    const feed = opened.value;
    const createdS = Math.floor(clock.readWallMs() / 1000);
    const delivery: Delivery = {
      startedMs,
      shape: { ...source.shape, generationId: feed.generationId, createdS },
      iterator: feed.events[Symbol.asyncIterator](),
      stop,
      stopped: buildAbortPromise(stop),
      handOverError,
      isHandedOver: () => handOver.signal.aborted,
      buildStopError: () =>
        handOver.signal.aborted
          ? { kind: 'failed', error: handOverError }
          : { kind: 'caller-gone' },
    };
    try {
      const send = source.stream ? sendEventStream : sendJsonAnswer;
      return await send(context, dependencies, delivery);
    } finally {
      feed.detach();
    }
  } finally {
    endWorkOnClose(context.env.outgoing, work);
  }
};
