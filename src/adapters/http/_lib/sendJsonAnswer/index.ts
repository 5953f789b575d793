import { Endpoint, RunState, type Cursor } from '../../../../domain/types';
import type { GenerationError, GenerationEvent } from '../../../../application/ports';
import type { AnswerShape, CallerContext, CallerDependencies, Delivery } from '../../types';
import { computeUsage } from '../formatChunk';
import { STREAM_INCOMPLETE_ERROR, sendError } from '../sendError';

interface CollectedAnswer {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** Null while the generation has not finished. */
  readonly finishReason: string | null;
  /** Position after the last collected token; null before the first token. */
  readonly cursor: Cursor | null;
}

/** Creates a collector of the batches of one answer, whose content can be read at any time. */
const createCollector = () => {
  const texts: string[] = [];
  const tokenIds: number[] = [];
  let cursor: Cursor | null = null;
  let finishReason: string | null = null;
  return {
    addEvent: (event: Extract<GenerationEvent, { kind: 'tokens' }>): void => {
      texts.push(event.batch.text);
      event.batch.tokenIds.forEach((id) => tokenIds.push(id));
      cursor = event.cursor;
      finishReason = event.batch.finishReason;
    },
    readAnswer: (): CollectedAnswer => ({ text: texts.join(''), tokenIds, finishReason, cursor }),
  };
};

type Collector = ReturnType<typeof createCollector>;

/** Reads the generation to its end; returns its error, or null if the generation finished. */
const collectEvents = async (
  { clock, metrics }: CallerDependencies,
  { iterator, startedMs }: Delivery,
  collector: Collector,
): Promise<GenerationError | null> => {
  let step = await iterator.next();
  metrics.recordFirstToken(clock.readMonotonicMs() - startedMs);
  for (; !step.done; step = await iterator.next()) {
    if (step.value.kind === 'failed') return step.value.error;
    collector.addEvent(step.value);
  }
  return collector.readAnswer().finishReason === null ? STREAM_INCOMPLETE_ERROR : null;
};

const CHOICE_BY_ENDPOINT = {
  [Endpoint.Chat]: (text: string) => ({ message: { role: 'assistant', content: text } }),
  [Endpoint.Completion]: (text: string) => ({ text }),
} as const;

const OBJECT_BY_ENDPOINT = {
  [Endpoint.Chat]: 'chat.completion',
  [Endpoint.Completion]: 'text_completion',
} as const;

const buildAnswerBody = (shape: AnswerShape, answer: CollectedAnswer) => ({
  id: shape.generationId,
  object: OBJECT_BY_ENDPOINT[shape.endpoint],
  created: shape.createdS,
  model: shape.model,
  choices: [
    {
      index: 0,
      ...CHOICE_BY_ENDPOINT[shape.endpoint](answer.text),
      token_ids: answer.tokenIds,
      logprobs: null,
      finish_reason: answer.finishReason,
    },
  ],
  usage: computeUsage(shape, answer.tokenIds.length),
});

/**
 * Builds the fields of an error's body with which a caller can resume: the answer so far and its
 * cursor, for a request to `/v1/generations/{id}/events`.
 */
const buildResumePoint = ({ cursors }: CallerDependencies, answer: CollectedAnswer) => {
  if (answer.cursor === null) return {};
  const { cursor, text, tokenIds } = answer;
  const { generationId } = cursor;
  return {
    jackdaw: {
      generation_id: generationId,
      cursor: cursors.sign(cursor),
      text,
      token_ids: tokenIds,
    },
  };
};

/** Delivers a generation as one JSON answer after the generation has ended. */
export const sendJsonAnswer = async (
  context: CallerContext,
  dependencies: CallerDependencies,
  delivery: Delivery,
): Promise<Response> => {
  const collector = createCollector();
  const ended = collectEvents(dependencies, delivery, collector);
  const error = await Promise.race([ended, delivery.stopped.then(() => null)]);
  const answer = collector.readAnswer();
  if (delivery.stop.aborted) {
    return sendError(context, delivery.buildStopError(), {
      extra: buildResumePoint(dependencies, answer),
    });
  }
  if (error !== null) return sendError(context, { kind: 'failed', error });
  dependencies.metrics.recordTokens(answer.tokenIds.length);
  return new Response(JSON.stringify(buildAnswerBody(delivery.shape, answer)), {
    headers: {
      'Content-Type': 'application/json',
      'Jackdaw-Request-Id': context.get('requestId'),
      'Jackdaw-Generation-Id': delivery.shape.generationId,
      'Jackdaw-Run-State': RunState.Ran,
    },
  });
};
