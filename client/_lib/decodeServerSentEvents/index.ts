import type { ServerSentEvent } from '../../types';

const parseBlock = (block: string): ServerSentEvent | null => {
  const fields = block.split(/\r\n|\r|\n/u).map((line) => {
    const colon = line.indexOf(':');
    return colon < 0
      ? { name: line, value: '' }
      : { name: line.slice(0, colon), value: line.slice(colon + 1).replace(/^ /u, '') };
  });
  const data = fields.filter((field) => field.name === 'data').map((field) => field.value);
  const id = fields.filter((field) => field.name === 'id').at(-1)?.value ?? '';
  return data.length === 0 ? null : { id, data: data.join('\n') };
};

/**
 * Decodes a `text/event-stream` body incrementally. Drops a trailing event without its closing
 * blank line: the connection broke within the event, so its tokens may be incomplete.
 *
 * @param chunks - Body bytes, split at arbitrary positions.
 */
export async function* decodeServerSentEvents(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<ServerSentEvent, void, undefined> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, { stream: true });
    const blocks = pending.split(/\r\n\r\n|\n\n|\r\r/u);
    pending = blocks.pop() ?? '';
    for (const block of blocks) {
      const event = parseBlock(block);
      if (event !== null) yield event;
    }
  }
}
