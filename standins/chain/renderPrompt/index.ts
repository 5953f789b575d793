import { extractPromptText } from '../../../src/domain/request';
import { Endpoint } from '../../../src/domain/types';

type Body = Readonly<Record<string, unknown>>;

/**
 * Renders the prompt of a request as the text from which digests are computed.
 *
 * @param body - body of a chat completion (`messages`) or of a completion (`prompt`)
 * @returns chat: the messages joined as `role\ncontent\n`; completion: the prompt
 */
export function renderPrompt(body: Body): string {
  const endpoint = Array.isArray(body.messages) ? Endpoint.Chat : Endpoint.Completion;
  return extractPromptText(endpoint, body as unknown as Parameters<typeof extractPromptText>[1]);
}
