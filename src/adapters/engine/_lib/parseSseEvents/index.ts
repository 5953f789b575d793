/** One server-sent event; fields that the engine protocol does not use are dropped. */
export interface SseEvent {
  readonly id: string;
  readonly data: string;
}

/** Longest event accepted: an engine that never ends an event must not fill the memory. */
const MAX_EVENT_CHARACTERS = 1_000_000;

const parseEvent = (text: string): SseEvent => {
  let id = '';
  let data = '';
  text.split('\n').forEach((rawLine) => {
    const line = rawLine.endsWith('\r') ? rawLine.slice(0, -1) : rawLine;
    if (line.startsWith('data:')) data += `${data ? '\n' : ''}${line.slice(5).trimStart()}`;
    else if (line.startsWith('id:')) id = line.slice(3).trim();
  });
  return { id, data };
};

/**
 * Parses a body of server-sent events.
 *
 * An event counts only once the empty line after it has arrived: one that a broken connection cut
 * in its middle is dropped, since its tokens could be incomplete.
 *
 * @param body - Chunks of UTF-8 bytes, cut anywhere.
 * @returns Events with data, in order; throws what the body throws, or on an endless event.
 */
export async function* parseSseEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<SseEvent> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of body) {
    pending += decoder.decode(chunk, { stream: true });
    if (pending.includes('\r')) pending = pending.replaceAll('\r\n', '\n');
    let start = 0;
    let end = pending.indexOf('\n\n');
    while (end >= 0) {
      const event = parseEvent(pending.slice(start, end));
      if (event.data) yield event;
      start = end + 2;
      end = pending.indexOf('\n\n', start);
    }
    pending = pending.slice(start);
    if (pending.length > MAX_EVENT_CHARACTERS) throw new Error('event too long');
  }
}
