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

/** Streams a generation that this VM holds to a peer; fails with `NotFound` if it holds none. */
export const sendGeneration = async function* sendGeneration(
  generations: Pick<Generations, 'findGeneration'> | null,
  request: AttachGenerationRequest,
  signal: AbortSignal,
): AsyncGenerator<AttachGenerationResponse> {
  const feed =
    generations?.findGeneration(request.workspace, request.generationId, request.offset) ?? null;
  if (feed === null) throw new ConnectError('not held here', Code.NotFound);
  signal.addEventListener('abort', feed.detach, { once: true });
  try {
    // The peer learns at once that the generation is here, also when its next token is far off.
    yield create(AttachGenerationResponseSchema, { event: { case: 'attached', value: {} } });
    for await (const event of feed.events) yield convertEvent(event);
  } finally {
    signal.removeEventListener('abort', feed.detach);
    feed.detach();
  }
};
