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

const CUT: StreamFailure = {
  code: 'connection_failed',
  message: 'the connection ended before the generation did',
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

/** Yields the batches of one connection; returns why it ended, or null after the last batch. */
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
    // A cut connection rejects the read: what arrived before it is whole, and the cursor names it.
  }
  return { ...CUT, requestId: stream.requestId };
}

/**
 * Streams one generation and goes on with it, whatever breaks, at any of several entries.
 *
 * The first request carries an idempotency key; until a token has arrived it is repeated as it
 * is. After that each request carries the last cursor and the tokens received, so that any entry
 * can go on after exactly these, also when the entry and the engine died together.
 *
 * @param options - Where, as whom and what; see `StreamGenerationOptions`.
 * @returns Batches in order, each token once, ending after the batch with a finish reason.
 * @throws GenerationLostError when the answer cannot be had whole.
 *
 * @example
 * for await (const batch of streamGeneration({ baseUrls, apiKey, body: { model, messages } })) {
 *   append(batch.text);
 * }
 */
export async function* streamGeneration(
  options: StreamGenerationOptions,
): AsyncGenerator<GenerationBatch, void, undefined> {
  const keyed = { ...options, idempotencyKey: options.idempotencyKey ?? crypto.randomUUID() };
  const maxFruitless = options.maxFruitlessRequests ?? DEFAULT_MAX_FRUITLESS_REQUESTS;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const wait = options.wait ?? waitForDelay;
  let progress: GenerationProgress = { generationId: '', cursor: '', tokenIds: [] };
  let fruitless = 0;
  for (let request = 0; ; request += 1) {
    const baseUrl = options.baseUrls[request % options.baseUrls.length] ?? '';
    const connection = new AbortController();
    const signal = options.signal
      ? AbortSignal.any([options.signal, connection.signal])
      : connection.signal;
    fruitless += 1;
    let failure: StreamFailure | null;
    // A paused entry accepts the connection and never answers.
    const opening = setTimeout(() => connection.abort(), idleTimeoutMs);
    try {
      const stream = await sendRequest(baseUrl, progress, keyed, signal);
      clearTimeout(opening);
      if (stream.isErr()) {
        failure = stream.error;
      } else {
        const batches = readConnection(stream.value, progress, idleTimeoutMs);
        let next = await batches.next();
        while (!next.done) {
          fruitless = 0;
          progress = addBatch(progress, next.value);
          yield next.value;
          next = await batches.next();
        }
        failure = next.value;
      }
    } finally {
      clearTimeout(opening);
      connection.abort();
    }
    if (failure === null) return;
    if (options.signal?.aborted) failure = { ...CUT, code: 'aborted', retryable: false };
    if (!failure.retryable || fruitless >= maxFruitless) {
      throw new GenerationLostError(failure, progress.tokenIds.length);
    }
    await wait(computeRetryDelay(fruitless, failure.retryAfterMs, Math.random()));
  }
}
