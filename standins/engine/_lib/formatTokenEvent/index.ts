import type { StreamStart } from '../../types';

/** Tokens of one event. */
export interface EventTokens {
  /** Tokens of the generation up to and with this event. */
  readonly offset: number;
  readonly text: string;
  readonly tokenIds: readonly number[];
  readonly finishReason: string | null;
}

/** Formats a server-sent event in the OpenAI wire format. */
export function formatTokenEvent(start: StreamStart, tokens: EventTokens): string {
  const isChat = start.object === 'chat.completion.chunk';
  const content = isChat ? { delta: { content: tokens.text } } : { text: tokens.text };
  const choice = {
    index: 0,
    ...content,
    token_ids: tokens.tokenIds,
    finish_reason: tokens.finishReason,
  };
  const data = {
    id: start.streamId,
    object: start.object,
    model: start.model,
    choices: [choice],
  };
  return `id: ${tokens.offset}\ndata: ${JSON.stringify(data)}\n\n`;
}
