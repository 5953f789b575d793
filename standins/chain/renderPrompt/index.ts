type Body = Readonly<Record<string, unknown>>;

const renderContent = (content: unknown): string =>
  typeof content === 'string' ? content : JSON.stringify(content ?? '');

const renderMessage = (message: { role?: unknown; content?: unknown }): string =>
  `${String(message.role)}\n${renderContent(message.content)}\n`;

/**
 * Renders the prompt of a request as the text from which digests are computed.
 *
 * @param body - body of a chat completion (`messages`) or of a completion (`prompt`)
 * @returns chat: the messages joined as `role\ncontent\n`; completion: the prompt
 */
export function renderPrompt(body: Body): string {
  if (Array.isArray(body.messages)) return body.messages.map(renderMessage).join('');
  return renderContent(body.prompt);
}
