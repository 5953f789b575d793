import { Endpoint } from '../../types';
import type { ChatBody, CompletionBody } from '../types';

type Message = ChatBody['messages'][number];

const readContent = (content: Message['content']): string => {
  if (typeof content === 'string') return content;
  return (content ?? []).map((part) => part.text ?? '').join('');
};

/**
 * Extracts the text of a prompt for prefix digests and estimates.
 *
 * @returns the prompt of a completion; the messages of a chat, each as `role\ncontent\n`
 */
export const extractPromptText = (endpoint: Endpoint, body: ChatBody | CompletionBody): string => {
  if (endpoint === Endpoint.Completion) return (body as CompletionBody).prompt;
  return (body as ChatBody).messages
    .map((message) => `${message.role}\n${readContent(message.content)}\n`)
    .join('');
};
