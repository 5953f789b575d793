/** One server-sent event, without the fields that the engine protocol does not use. */
export interface SseEvent {
  readonly id: string;
  readonly data: string;
}

/** Longest event accepted, so that an engine that never ends an event cannot exhaust memory. */
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
 * An event is complete only after its terminating empty line. An event that a broken connection
 * truncates is dropped, since its tokens could be incomplete.
 *
 * @param body - Chunks of UTF-8 bytes, split at any position.
 * @returns Events with data, in order; throws if the body throws or an event is too long.
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
