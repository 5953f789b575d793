import type { Result } from 'neverthrow';
import { RunState } from '../../../../domain/types';
import type { GenerationError, GenerationFeed } from '../../../../application/ports';
import type { AnswerShape, CallerContext, CallerDependencies, Delivery } from '../../types';
import { sendError } from '../sendError';
import { sendEventStream } from '../sendEventStream';
import { sendJsonAnswer } from '../sendJsonAnswer';
import { endWorkOnClose, watchResponse } from '../watchResponse';

/** Source of a delivery: the generation's feed and how its answer is sent. */
export interface DeliverySource {
  readonly openFeed: (signal: AbortSignal) => Promise<Result<GenerationFeed, GenerationError>>;
  /** Properties of the answer; the feed adds the id, and the delivery the creation time. */
  readonly shape: Omit<AnswerShape, 'createdS' | 'generationId'>;
  readonly stream: boolean;
  /** If false, a retry without a cursor must not start the work again. */
  readonly idempotent: boolean;
  /** Run state reported if this entry refuses the request. */
  readonly runStateIfRefused: RunState;
}

const HAND_OVER_ERROR: GenerationError = {
  code: 'handed_over',
  message: 'This entry is shutting down; resume at another entry with the last cursor.',
  status: 503,
  runState: RunState.Ran,
  retryAfterMs: 1,
};

/** Builds a promise that resolves on a signal's abort, so that waits share a single listener. */
const buildAbortPromise = (signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), { once: true });
  });

/**
 * Opens a generation's feed and delivers it to the caller, as a stream or as one JSON answer.
 *
 * A caller that disconnects is detached: the generation continues, and the caller can resume with
 * its cursor.
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
