import { err, ok, type Result } from 'neverthrow';
import type { EngineError } from '../../../../application/ports';
import type { TokenBatch } from '../../../../domain/types';
import { parseSseEvents } from '../parseSseEvents';
import { parseTokenBatch } from '../parseTokenBatch';

const buildBroken = (reason: string): Result<TokenBatch, EngineError> =>
  err({ kind: 'broken', reason });

/**
 * Reads an engine's stream as token batches and checks that their offsets are contiguous.
 *
 * @param body - Body of a `text/event-stream` answer.
 * @param firstOffset - Offset from which the stream was requested.
 * @param signal - Aborted when the reader has detached.
 * @returns Batches; the last one has a finish reason or is followed by one error.
 */
export async function* readBatches(
  body: AsyncIterable<Uint8Array>,
  firstOffset: number,
  signal: AbortSignal,
): AsyncGenerator<Result<TokenBatch, EngineError>> {
  let offset = firstOffset;
  try {
    for await (const event of parseSseEvents(body)) {
      if (event.data === '[DONE]') break;
      const batch = parseTokenBatch(event, offset);
      if (batch.isErr()) {
        yield buildBroken(batch.error);
        return;
      }
      offset += batch.value.tokenIds.length;
      yield ok(batch.value);
      if (batch.value.finishReason !== null) return;
    }
    yield buildBroken('ended without a finish reason');
  } catch (error) {
    if (signal.aborted) yield err({ kind: 'cancelled' });
    else yield buildBroken(error instanceof Error ? error.message : 'connection broke');
  }
}
