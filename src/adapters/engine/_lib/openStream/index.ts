import { err, ok, type Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { EngineError, EngineStream } from '../../../../application/ports';
import { callEngine, type EngineCall } from '../callEngine';
import { convertStatus } from '../convertStatus';
import { readBatches } from '../readBatches';

/** Options of a stream that is opened. */
export interface StreamOptions {
  readonly purpose: 'start' | 'resume';
  readonly call: Omit<EngineCall, 'signal' | 'headersTimeoutMs'>;
  readonly firstOffset: number;
}

/**
 * Longest wait for the headers of a stream. Failure detection of the generations acts far sooner;
 * this timeout only ends abandoned calls, so that their sockets do not accumulate.
 */
const HEADERS_TIMEOUT_MS = 120_000;

/**
 * Opens a stream of an engine and reads it as token batches.
 *
 * @param dispatcher - Connections to use.
 * @param options - Call and first offset.
 * @returns The stream, or the error that prevented it.
 */
export const openStream = async (
  dispatcher: Dispatcher,
  options: StreamOptions,
): Promise<Result<EngineStream, EngineError>> => {
  const abort = new AbortController();
  const response = await callEngine(dispatcher, {
    ...options.call,
    headersTimeoutMs: HEADERS_TIMEOUT_MS,
    signal: abort.signal,
  });
  if (response.isErr()) return err(response.error);
  if (response.value.statusCode !== 200) {
    return err(await convertStatus(options.purpose, response.value));
  }
  // Without a listener, an abort between two reads would cause an unhandled error event.
  response.value.body.on('error', () => undefined);
  return ok({
    batches: readBatches(response.value.body, options.firstOffset, abort.signal),
    detach: () => abort.abort(),
  });
};
