import type { ServerResponse } from 'node:http';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { RunState } from '../../../../domain/types';
import type { Clock, GenerationError, GenerationEvent } from '../../../../application/ports';
import type { CallerContext, CallerDependencies, Delivery } from '../../types';
import { createChunkFormatter } from '../formatChunk';
import { buildErrorBody, STREAM_INCOMPLETE_ERROR, sendError } from '../sendError';
import { startStallTimeout } from '../watchResponse';

/**
 * Wait for the first event before the headers are sent: a failure within this time is sent with its
 * own HTTP status, a later one as an event of the stream.
 */
const FIRST_EVENT_WAIT_MS = 2000;

/** Silence after which a comment is sent, so that a client's idle timeout does not expire. */
const HEARTBEAT_INTERVAL_MS = 5000;

const writeHead = (context: CallerContext, delivery: Delivery, runState: RunState): void => {
  context.env.outgoing.writeHead(200, {
    'Content-Type': 'text/event-stream; charset=utf-8',
    'Cache-Control': 'no-cache',
    'Jackdaw-Request-Id': context.get('requestId'),
    'Jackdaw-Generation-Id': delivery.shape.generationId,
    'Jackdaw-Run-State': runState,
  });
};

const sendErrorEvent = (context: CallerContext, error: GenerationError): void => {
  context.set('errorCode', error.code);
  const body = JSON.stringify(buildErrorBody(error, context.get('requestId')));
  context.env.outgoing.end(`event: error\ndata: ${body}\n\n`);
};

/** Resolves when the response accepts more data or has closed. */
const waitForDrain = (outgoing: ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      outgoing.off('drain', finish);
      outgoing.off('close', finish);
      resolve();
    };
    outgoing.once('drain', finish);
    outgoing.once('close', finish);
  });

type Step = IteratorResult<GenerationEvent>;

/** Waits for the first event; null after `FIRST_EVENT_WAIT_MS` or if the delivery stops. */
const waitForFirstEvent = (first: Promise<Step>, clock: Clock, stop: Promise<void>) =>
  new Promise<Step | null>((resolve, reject) => {
    const cancelTimer = clock.startTimer(FIRST_EVENT_WAIT_MS, () => resolve(null));
    const finish = (step: Step | null): void => {
      cancelTimer();
      resolve(step);
    };
    first.then(finish, reject);
    stop.then(() => finish(null));
  });

/** Starts writing a comment after each silent interval; the returned function stops it. */
const startHeartbeat = (outgoing: ServerResponse, clock: Clock): (() => void) => {
  let written = 0;
  let cancelTimer: () => void = () => undefined;
  const sendHeartbeat = (): void => {
    const now = outgoing.socket?.bytesWritten ?? 0;
    // A caller that does not read gets no comment: comments would pile up behind the tokens.
    if (now === written && !outgoing.writableNeedDrain) outgoing.write(':\n\n');
    written = outgoing.socket?.bytesWritten ?? 0;
    cancelTimer = clock.startTimer(HEARTBEAT_INTERVAL_MS, sendHeartbeat);
  };
  cancelTimer = clock.startTimer(HEARTBEAT_INTERVAL_MS, sendHeartbeat);
  return () => cancelTimer();
};

/** Writes the events one by one, as fast as the caller reads. */
const sendEvents = async (
  context: CallerContext,
  { clock, cursors, metrics }: CallerDependencies,
  delivery: Delivery,
  first: Promise<Step>,
): Promise<void> => {
  const { outgoing } = context.env;
  const formatter = createChunkFormatter(delivery.shape);
  let tokens = 0;
  let finished = false;
  for (let step = await first; !step.done; step = await delivery.iterator.next()) {
    if (delivery.stop.aborted) return;
    if (step.value.kind === 'failed') {
      sendErrorEvent(context, step.value.error);
      return;
    }
    const { batch, cursor } = step.value;
    if (tokens === 0) metrics.recordFirstToken(clock.readMonotonicMs() - delivery.startedMs);
    const isReady = outgoing.write(formatter.formatTokens(batch, cursors.sign(cursor)));
    metrics.recordTokens(batch.tokenIds.length);
    tokens = cursor.offset;
    finished = batch.finishReason !== null;
    if (!isReady) await waitForDrain(outgoing);
  }
  if (delivery.stop.aborted) return;
  if (finished) outgoing.end(formatter.formatEnd(tokens));
  else sendErrorEvent(context, STREAM_INCOMPLETE_ERROR);
};

/** Delivers a generation as server-sent events, each with a signed cursor as its id. */
export const sendEventStream = async (
  context: CallerContext,
  dependencies: CallerDependencies,
  delivery: Delivery,
): Promise<Response> => {
  const { outgoing } = context.env;
  const first = delivery.iterator.next();
  const step = await waitForFirstEvent(first, dependencies.clock, delivery.stopped);
  if (delivery.stop.aborted) return sendError(context, delivery.buildStopError());
  if (step !== null && !step.done && step.value.kind === 'failed') {
    return sendError(context, { kind: 'failed', error: step.value.error });
  }
  if (step !== null && step.done)
    return sendError(context, { kind: 'failed', error: STREAM_INCOMPLETE_ERROR });
  writeHead(context, delivery, step === null ? RunState.Unknown : RunState.Ran);
  if (step === null) outgoing.flushHeaders();
  startStallTimeout(outgoing);
  const stopHeartbeat = startHeartbeat(outgoing, dependencies.clock);
  try {
    await Promise.race([sendEvents(context, dependencies, delivery, first), delivery.stopped]);
    if (delivery.isHandedOver()) sendErrorEvent(context, delivery.handOverError);
  } finally {
    stopHeartbeat();
  }
  return RESPONSE_ALREADY_SENT;
};
