import type { Client } from '@connectrpc/connect';
import { ResultAsync, err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type {
  Clock,
  GenerationEvent,
  GenerationFeed,
  PeerGenerations,
} from '../../../../../application/ports';
import { RunState } from '../../../../../domain/types';
import type { AttachGenerationResponse, PeerService } from '../../../gen/peer_pb';
import { convertConnectError } from '../convertConnectError';

type Generation = Parameters<PeerGenerations['attachGeneration']>[1];
interface AttachError {
  readonly kind: 'unreachable' | 'not-held';
}

const RETRY_AFTER_MS = 1_000;
/** Event after the connection to the relaying VM broke; the caller may resume with its cursor. */
const PEER_LOST_EVENT: GenerationEvent = {
  kind: 'failed',
  error: {
    code: 'peer_lost',
    message: 'the VM that relayed this generation was lost; resume with the last event id',
    status: 502,
    runState: RunState.Ran,
    retryAfterMs: RETRY_AFTER_MS,
  },
};

const isRunState = (state: string): state is RunState =>
  Object.values<string>(RunState).includes(state);

const convertResponse = (
  generation: Generation,
  { event }: AttachGenerationResponse,
): GenerationEvent | null => {
  if (event.case === 'end') {
    const { code, message, status, runState, retryAfterMs } = event.value;
    const knownRunState = isRunState(runState) ? runState : RunState.Unknown;
    return {
      kind: 'failed',
      error: { code, message, status, runState: knownRunState, retryAfterMs },
    };
  }
  if (event.case !== 'tokens') return null;
  const { offset, tokenIds, text, finishReason, cursorOffset, ...rest } = event.value;
  return {
    kind: 'tokens',
    batch: { offset, tokenIds, text, finishReason: finishReason === '' ? null : finishReason },
    cursor: {
      generationId: generation.generationId,
      workspace: generation.workspace,
      service: rest.service,
      attempt: rest.attempt,
      streamId: rest.streamId,
      backendServer: rest.backendServer,
      vm: rest.vm,
      offset: cursorOffset,
      chain: rest.chain,
    },
  };
};

const relayEvents = async function* relayEvents(
  generation: Generation,
  responses: AsyncIterator<AttachGenerationResponse>,
  isAborted: () => boolean,
): AsyncGenerator<GenerationEvent> {
  for (;;) {
    const next = await ResultAsync.fromPromise(responses.next(), convertConnectError);
    if (isAborted()) return;
    if (next.isErr()) {
      yield PEER_LOST_EVENT;
      return;
    }
    if (next.value.done === true) return;
    const event = convertResponse(generation, next.value.value);
    if (event !== null) yield event;
  }
};

/**
 * Attaches to a generation that a peer holds.
 *
 * The peer must confirm within `timeoutMs` that it holds the generation.
 *
 * @returns the feed, or `unreachable` or `not-held`
 */
export const openGeneration = async (
  calls: Client<typeof PeerService>,
  generation: Generation,
  { clock, timeoutMs }: { readonly clock: Clock; readonly timeoutMs: number },
): Promise<Result<GenerationFeed, AttachError>> => {
  const controller = new AbortController();
  const cancelTimer = clock.startTimer(timeoutMs, () => controller.abort());
  const responses = calls
    .attachGeneration(generation, { signal: controller.signal })
    [Symbol.asyncIterator]();
  const first = await ResultAsync.fromPromise(responses.next(), convertConnectError);
  cancelTimer();
  if (first.isErr())
    return err({ kind: first.error.kind === 'refused' ? 'not-held' : 'unreachable' });
  if (first.value.done === true) return err({ kind: 'not-held' });
  return ok({
    generationId: generation.generationId,
    events: relayEvents(generation, responses, () => controller.signal.aborted),
    detach: () => controller.abort(),
  });
};
