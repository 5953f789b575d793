import { Endpoint, type TokenBatch } from '../../../../domain/types';
import type { AnswerShape } from '../../types';

/** Token counts in OpenAI's format; the prompt's is estimated at four characters per token. */
export interface Usage {
  readonly prompt_tokens: number;
  readonly completion_tokens: number;
  readonly total_tokens: number;
}

const CHARACTERS_PER_TOKEN = 4;

/** Computes the usage of an answer with `completionTokens` tokens. */
export const computeUsage = (shape: AnswerShape, completionTokens: number): Usage => {
  const promptTokens = Math.ceil(shape.promptCharacters / CHARACTERS_PER_TOKEN);
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
};

const OBJECT_BY_ENDPOINT = {
  [Endpoint.Chat]: 'chat.completion.chunk',
  [Endpoint.Completion]: 'text_completion',
} as const;

const formatChatText = (batch: TokenBatch): string => {
  const role = batch.offset === 0 ? '"role":"assistant",' : '';
  return `"delta":{${role}"content":${JSON.stringify(batch.text)}}`;
};

const FORMAT_TEXT = {
  [Endpoint.Chat]: formatChatText,
  [Endpoint.Completion]: (batch: TokenBatch) => `"text":${JSON.stringify(batch.text)}`,
} as const;

/** Formatter of the chunks of one answer. */
export interface ChunkFormatter {
  formatTokens(batch: TokenBatch, cursor: string): string;
  formatEnd(completionTokens: number): string;
}

/**
 * Creates the formatter of one answer's SSE events.
 *
 * The parts that all events share are formatted once: building and serialising the whole object
 * for each token took several times as long.
 */
export const createChunkFormatter = (shape: AnswerShape): ChunkFormatter => {
  const head = JSON.stringify({
    id: shape.generationId,
    object: OBJECT_BY_ENDPOINT[shape.endpoint],
    created: shape.createdS,
    model: shape.model,
  }).slice(0, -1);
  const tail = shape.includeUsage ? ',"usage":null}\n\n' : '}\n\n';
  const formatText = FORMAT_TEXT[shape.endpoint];

  return {
    formatTokens: (batch, cursor) => {
      const finish = batch.finishReason === null ? 'null' : JSON.stringify(batch.finishReason);
      const choice = `{"index":0,${formatText(batch)},"token_ids":[${batch.tokenIds.join(',')}],"logprobs":null,"finish_reason":${finish}}`;
      return `id: ${cursor}\ndata: ${head},"choices":[${choice}]${tail}`;
    },
    formatEnd: (completionTokens) => {
      const usage = JSON.stringify(computeUsage(shape, completionTokens));
      const report = shape.includeUsage ? `data: ${head},"choices":[],"usage":${usage}}\n\n` : '';
      return `${report}data: [DONE]\n\n`;
    },
  };
};
