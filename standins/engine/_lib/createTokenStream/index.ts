import { addTokenToChain, computeChainStart, computeTokenId, formatToken } from '../../../chain';
import { AttemptState, type StreamStart, type TokenStream } from '../../types';

function findFinishReason(start: StreamStart, length: number): string | null {
  if (length >= start.stopsAt) return 'stop';
  return length >= start.maxTokens ? 'length' : null;
}

/**
 * Creates the stream of a request, its chain advanced over the prefix that came with it.
 *
 * @param nonce - random text of this attempt, lower-case hex
 * @param startedAtMs - monotonic time of its arrival
 */
export function createTokenStream(
  start: StreamStart,
  nonce: string,
  startedAtMs: number,
): TokenStream {
  const chainStart = computeChainStart(`${start.model}\n${start.promptText}`);
  const ids: number[] = [];
  const texts: string[] = [];
  let chain = start.prefixTokenIds.reduce(addTokenToChain, chainStart);
  let state: AttemptState = AttemptState.Waiting;
  let finishReason: string | null = null;

  const countTokens = () => start.prefixTokenIds.length + ids.length;
  const generate = () => {
    const index = countTokens();
    const id = computeTokenId(chain, nonce, index);
    ids.push(id);
    texts.push(formatToken({ index, nonce, id }));
    chain = addTokenToChain(chain, id);
  };
  return {
    start,
    startedAtMs,
    texts,
    ids,
    readers: new Set(),
    readState: () => state,
    updateState: (next) => {
      state = next;
    },
    readFinishReason: () => finishReason,
    countTokens,
    addToken: () => {
      if (findFinishReason(start, countTokens()) === null) generate();
      finishReason = findFinishReason(start, countTokens());
      if (finishReason !== null) state = AttemptState.Finished;
    },
  };
}
