import { updateGapStatistics } from '../../../../domain/detection';
import type { ReaderId } from '../../../../domain/generation';
import { BackendHealth, type TokenBatch } from '../../../../domain/types';
import type { EngineStream } from '../../../ports';
import type { AttemptHandle, RunContext } from '../../types';
import { convertEngineError } from '../convertEngineError';

const recordFirstToken = (context: RunContext, handle: AttemptHandle, nowMs: number): void => {
  if (handle.firstTokenMs > 0 || !handle.slot || !context.request) return;
  const firstTokenMs = Math.max(1, nowMs - handle.sentAtMs);
  Object.assign(handle, { firstTokenMs });
  const { promptCharacters } = context.request;
  context.latencyHistory.recordFirstToken(context.service, { promptCharacters, firstTokenMs });
};

const recordGap = (context: RunContext, handle: AttemptHandle, gapMs: number): void => {
  Object.assign(handle, { gaps: updateGapStatistics(handle.gaps, gapMs) });
  context.latencyHistory.recordGap(context.service, gapMs);
};

const recordActivity = (context: RunContext, handle: AttemptHandle, batch: TokenBatch): void => {
  const { clock, health } = context.dependencies;
  const nowMs = clock.readMonotonicMs();
  if (batch.tokenIds.length > 0) {
    recordFirstToken(context, handle, nowMs);
    if (handle.server) context.serverActivity.record(handle.server.name, nowMs);
    // The first gap includes the prefill and would make the silence limit far too long.
    if (handle.deliveredTokens > 0) recordGap(context, handle, nowMs - handle.lastActivityMs);
    const deliveredTokens = handle.deliveredTokens + batch.tokenIds.length;
    Object.assign(handle, { deliveredTokens });
  }
  Object.assign(handle, { lastActivityMs: nowMs });
  const server = handle.server?.name ?? '';
  const state = health.readHealth(server);
  // Received tokens outweigh a peer's suspicion: it may be the peer that is cut off.
  if (state === BackendHealth.Suspected || state === BackendHealth.Dead) {
    health.recordRecovery(server);
  }
};

/**
 * Reads a stream until it ends and dispatches each batch to the run.
 *
 * @param context - Run that the stream belongs to.
 * @param handle - Attempt that the stream belongs to.
 * @param reader - Connection over which the stream is read.
 * @param stream - Stream to read.
 */
export const readStream = async (
  context: RunContext,
  handle: AttemptHandle,
  reader: ReaderId,
  stream: EngineStream,
): Promise<void> => {
  for await (const result of stream.batches) {
    if (result.isErr()) {
      context.dispatch(convertEngineError(result.error, reader));
      return;
    }
    if (context.handles.get(reader.attempt) === handle && handle.stream === stream) {
      recordActivity(context, handle, result.value);
    }
    context.dispatch({ kind: 'batch', reader, batch: result.value });
  }
};
