import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { EngineClient, EngineError, Slot } from '../../../../../src/application/ports';
import type { GenerationRequest, TokenBatch } from '../../../../../src/domain/types';

/** An attempt whose first batch has arrived. */
export interface StartedAttempt {
  readonly first: TokenBatch;
  readonly rest: AsyncIterator<Result<TokenBatch, EngineError>>;
}

/** Content of an attempt. */
export interface AttemptStart {
  readonly request: GenerationRequest;
  readonly streamId: string;
  readonly prefixTokenIds: readonly number[];
}

/** Starts an attempt and waits for its first batch; an abort cancels it at the engine. */
export async function startBenchAttempt(
  engines: EngineClient,
  { request, streamId, prefixTokenIds }: AttemptStart,
  { server, priority }: Slot,
  signal: AbortSignal,
): Promise<Result<StartedAttempt, EngineError>> {
  if (signal.aborted) return err({ kind: 'cancelled' });
  const model = request.service;
  const start = { request, model, adapter: '', streamId, prefixTokenIds, priority };
  const stream = await engines.startAttempt(server, start);
  if (stream.isErr()) return err(stream.error);
  const cancel = (): void => {
    stream.value.detach();
    engines.cancelStream(server, streamId);
  };
  signal.addEventListener('abort', cancel, { once: true });
  if (signal.aborted) cancel();
  const rest = stream.value.batches[Symbol.asyncIterator]();
  const first = await rest.next();
  if (first.done) return err({ kind: signal.aborted ? 'cancelled' : 'broken', reason: 'no token' });
  return first.value.map((batch) => ({ first: batch, rest }));
}
