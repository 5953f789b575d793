import type { ServerResponse } from 'node:http';
import type { StreamReader, TokenStream } from '../../types';
import { formatTokenEvent } from '../formatTokenEvent';

const SSE_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

function formatEventAt(stream: TokenStream, position: number): string {
  const isLast = position === stream.texts.length - 1;
  return formatTokenEvent(stream.start, {
    offset: stream.start.prefixTokenIds.length + position + 1,
    text: stream.texts[position] ?? '',
    tokenIds: stream.ids.slice(position, position + 1),
    finishReason: isLast ? stream.readFinishReason() : null,
  });
}

function formatEmptyEnd(stream: TokenStream): string {
  return formatTokenEvent(stream.start, {
    offset: stream.countTokens(),
    text: '',
    tokenIds: [],
    finishReason: stream.readFinishReason(),
  });
}

/**
 * Creates a reader and answers its request with the stream from `offset` on.
 *
 * @param offset - counted from the start of the generation
 * @param handleClose - called when the connection is gone
 */
export function createStreamReader(
  stream: TokenStream,
  response: ServerResponse,
  offset: number,
  handleClose: () => void,
): StreamReader {
  let position = offset - stream.start.prefixTokenIds.length;
  let isBlocked = false;
  const write = (text: string) => {
    isBlocked = !response.write(text);
  };
  const finish = () => {
    if (stream.texts.length === 0) write(formatEmptyEnd(stream));
    response.end('data: [DONE]\n\n');
  };
  const sendTokens = () => {
    if (response.writableEnded) return;
    while (!isBlocked && position < stream.texts.length) {
      write(formatEventAt(stream, position));
      position += 1;
    }
    if (!isBlocked && stream.readFinishReason() !== null) finish();
  };
  response.on('close', handleClose);
  response.on('drain', () => {
    isBlocked = false;
    sendTokens();
  });
  response.writeHead(200, SSE_HEADERS);
  response.flushHeaders();
  return {
    sendTokens,
    cutNextEvent: () => {
      const event = formatEventAt(stream, position);
      response.write(event.slice(0, event.length / 2));
      response.socket?.destroySoon();
    },
    stop: () => response.destroy(),
  };
}
