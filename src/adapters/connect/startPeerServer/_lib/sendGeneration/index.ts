import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { GenerationEvent, Generations } from '../../../../../application/ports';
import { AttachGenerationResponseSchema } from '../../../gen/peer_pb';
import type { AttachGenerationRequest, AttachGenerationResponse } from '../../../gen/peer_pb';

const convertEvent = (event: GenerationEvent): AttachGenerationResponse => {
  if (event.kind === 'failed') {
    const { code, message, status, runState, retryAfterMs } = event.error;
    return create(AttachGenerationResponseSchema, {
      event: { case: 'end', value: { code, message, status, runState, retryAfterMs } },
    });
  }
  const { batch, cursor } = event;
  return create(AttachGenerationResponseSchema, {
    event: {
      case: 'tokens',
      value: {
        offset: batch.offset,
        tokenIds: [...batch.tokenIds],
        text: batch.text,
        finishReason: batch.finishReason ?? '',
        attempt: cursor.attempt,
        streamId: cursor.streamId,
        backendServer: cursor.backendServer,
        service: cursor.service,
        vm: cursor.vm,
        chain: cursor.chain,
        cursorOffset: cursor.offset,
      },
    },
  });
};

/** Streams a generation to a peer; fails with `NotFound` if this VM does not hold it. */
export const sendGeneration = async function* sendGeneration(
  generations: Pick<Generations, 'findGeneration'> | null,
  request: AttachGenerationRequest,
  signal: AbortSignal,
): AsyncGenerator<AttachGenerationResponse> {
  const feed =
    generations?.findGeneration(request.workspace, request.generationId, request.offset) ?? null;
  if (feed === null) throw new ConnectError('this VM does not hold the generation', Code.NotFound);
  signal.addEventListener('abort', feed.detach, { once: true });
  try {
    // Confirms at once that this VM holds the generation; the next token may take long.
    yield create(AttachGenerationResponseSchema, { event: { case: 'attached', value: {} } });
    for await (const event of feed.events) yield convertEvent(event);
  } finally {
    signal.removeEventListener('abort', feed.detach);
    feed.detach();
  }
};
