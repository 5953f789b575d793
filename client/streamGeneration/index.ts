import { computeRetryDelay } from '../_lib/computeRetryDelay';
import { decodeServerSentEvents } from '../_lib/decodeServerSentEvents';
import { parseGenerationEvent } from '../_lib/parseGenerationEvent';
import { readChunks } from '../_lib/readChunks';
import { sendRequest, type OpenStream } from '../_lib/sendRequest';
import {
  GenerationLostError,
  type GenerationBatch,
  type GenerationProgress,
  type StreamFailure,
  type StreamGenerationOptions,
} from '../types';

const DEFAULT_MAX_FRUITLESS_REQUESTS = 10;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

const CONNECTION_ENDED: StreamFailure = {
  code: 'connection_failed',
  message: 'the connection ended before the generation finished',
  runState: 'unknown',
  requestId: '',
  retryable: true,
  retryAfterMs: 0,
};

const waitForDelay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const addBatch = (progress: GenerationProgress, batch: GenerationBatch): GenerationProgress => ({
  generationId: batch.generationId,
  cursor: batch.cursor,
  tokenIds: [...progress.tokenIds, ...batch.tokenIds],
});

/** Yields the batches of one connection. Returns why it ended, or null after the last batch. */
async function* readConnection(
  stream: OpenStream,
  start: GenerationProgress,
  idleTimeoutMs: number,
): AsyncGenerator<GenerationBatch, StreamFailure | null, undefined> {
  let progress = start;
  try {
    for await (const event of decodeServerSentEvents(readChunks(stream.body, idleTimeoutMs))) {
      const parsed = parseGenerationEvent(event, progress);
      if (parsed.kind === 'failure') return { ...parsed.failure, requestId: stream.requestId };
      if (parsed.kind === 'batch') {
        progress = addBatch(progress, parsed.batch);
        yield parsed.batch;
        if (parsed.batch.finishReason !== null) return null;
      }
    }
  } catch {
    // A broken connection rejects the read. Events before it are complete and have a cursor.
  }
  return { ...CONNECTION_ENDED, requestId: stream.requestId };
}

/**
 * Streams one generation and resumes it at the next entry after a failure.
 *
 * The first request carries an idempotency key and is retried unchanged until a token arrives.
 * Later requests carry the last cursor and the tokens received, so that any entry can continue
 * after exactly these tokens, even if the entry and the engine failed together.
 *
 * @param options - Entries, credentials and request body; see `StreamGenerationOptions`.
 * @returns Batches in order, each token once; the last batch has a finish reason.
 * @throws GenerationLostError if the generation cannot be completed.
 *
 * @example
 * for await (const batch of streamGeneration({ baseUrls, apiKey, body: { model, messages } })) {
 *   append(batch.text);
 * }
 */
export async function* streamGeneration(
  options: StreamGenerationOptions,
): AsyncGenerator<GenerationBatch, void, undefined> {
  const keyedOptions = {
    ...options,
    idempotencyKey: options.idempotencyKey ?? crypto.randomUUID(),
  };
  const maxFruitlessRequests = options.maxFruitlessRequests ?? DEFAULT_MAX_FRUITLESS_REQUESTS;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const wait = options.wait ?? waitForDelay;
  let progress: GenerationProgress = { generationId: '', cursor: '', tokenIds: [] };
  let fruitlessRequests = 0;
  for (let request = 0; ; request += 1) {
    const baseUrl = options.baseUrls[request % options.baseUrls.length] ?? '';
    const connection = new AbortController();
    const signal = options.signal
      ? AbortSignal.any([options.signal, connection.signal])
      : connection.signal;
    fruitlessRequests += 1;
    let failure: StreamFailure | null;
    // A paused entry accepts the connection and never responds.
    const openTimer = setTimeout(() => connection.abort(), idleTimeoutMs);
    try {
      const stream = await sendRequest(baseUrl, progress, keyedOptions, signal);
      clearTimeout(openTimer);
      if (stream.isErr()) {
        failure = stream.error;
      } else {
        const batches = readConnection(stream.value, progress, idleTimeoutMs);
        let next = await batches.next();
        while (!next.done) {
          fruitlessRequests = 0;
          progress = addBatch(progress, next.value);
          yield next.value;
          next = await batches.next();
        }
        failure = next.value;
      }
    } finally {
      clearTimeout(openTimer);
      connection.abort();
    }
    if (failure === null) return;
    if (options.signal?.aborted)
      failure = { ...CONNECTION_ENDED, code: 'aborted', retryable: false };
    if (!failure.retryable || fruitlessRequests >= maxFruitlessRequests) {
      throw new GenerationLostError(failure, progress.tokenIds.length);
    }
    await wait(computeRetryDelay(fruitlessRequests, failure.retryAfterMs, Math.random()));
  }
}
