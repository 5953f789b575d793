import type { GenerationInput, GenerationState } from '../../../../domain/generation';
import type { RunContext } from '../../types';

/**
 * Records an engine that crashed under a run, or the first token after such a crash, so that a
 * repeat of the request is judged by both.
 *
 * @param earlier - State before the input; the context has the state after it.
 * @param input - Input that changed the state.
 */
export const recordEngineOutcome = (
  { dependencies, generationId, handles, readState, request }: RunContext,
  earlier: GenerationState,
  input: GenerationInput,
): void => {
  const { crashes } = readState();
  if (!request || crashes === earlier.crashes || !('reader' in input)) return;
  const handle = handles.get(input.reader.attempt);
  if (!handle) return;
  const atMs = dependencies.clock.readMonotonicMs();
  dependencies.crashes.recordOutcome({
    fingerprint: request.digest,
    requestId: generationId,
    // An engine may crash, start again and crash again: each run counts.
    server: `${handle.server?.name ?? ''} ${handle.streamId}`,
    hasCrashed: crashes > earlier.crashes,
    isConfirmed: true,
    ranMs: atMs - handle.sentAtMs,
    atMs,
  });
};
