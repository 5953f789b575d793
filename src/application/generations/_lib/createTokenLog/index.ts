import { addTokensToChain } from '../../../../domain/cursor';
import type { TokenBatch } from '../../../../domain/types';
import type { TokenLog } from '../../types';
import { createGrowingArray } from '../createGrowingArray';

/** Initial values of a token log. */
export interface TokenLogStart {
  /** Chain digest before the first token in `prefixTokenIds`. */
  readonly chain: string;
  /** Number of tokens before `prefixTokenIds` that are not held. */
  readonly missingTokens: number;
  readonly prefixTokenIds: readonly number[];
}

/** Two bytes per UTF-16 unit; unlike UTF-8, preserves surrogate pairs that an engine has split. */
const TEXT_ENCODING = 'utf16le';

/**
 * Creates a log of tokens in packed arrays, as a node holds some hundred thousand tokens at once.
 * A token of five characters takes 34 bytes, spare capacity included (100 logs of 2000 tokens;
 * docs/decisions/040-survival.md).
 *
 * @param start - Initial values: the prefix and what precedes it.
 * @returns Log that holds the prefix and no batches.
 */
export const createTokenLog = (start: TokenLogStart): TokenLog => {
  const tokenIds = createGrowingArray((length) => new Uint32Array(length));
  const text = createGrowingArray((length) => new Uint8Array(length));
  const batchEnds = createGrowingArray((length) => new Uint32Array(length));
  const textEnds = createGrowingArray((length) => new Uint32Array(length));
  let chain = addTokensToChain(start.chain, start.prefixTokenIds);
  let finishReason: string | null = null;
  tokenIds.append(start.prefixTokenIds);
  const firstBatchOffset = start.missingTokens + start.prefixTokenIds.length;

  const readBatchStart = (index: number): number =>
    index === 0 ? firstBatchOffset : start.missingTokens + batchEnds.read(index - 1);

  const findBatch = (offset: number): number | null => {
    let low = 0;
    let high = batchEnds.readLength();
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (readBatchStart(middle) < offset) low = middle + 1;
      else high = middle;
    }
    return readBatchStart(low) === offset ? low : null;
  };

  const readText = (index: number): string => {
    const from = index === 0 ? 0 : textEnds.read(index - 1);
    const bytes = text.slice(from, textEnds.read(index));
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString(TEXT_ENCODING);
  };

  return {
    readEndOffset: () => start.missingTokens + tokenIds.readLength(),
    readChain: () => chain,
    readFinishReason: () => finishReason,
    append: (batch) => {
      tokenIds.append(batch.tokenIds);
      if (batch.text) text.append(Buffer.from(batch.text, TEXT_ENCODING));
      batchEnds.append([tokenIds.readLength()]);
      textEnds.append([text.readLength()]);
      chain = addTokensToChain(chain, batch.tokenIds);
      finishReason = batch.finishReason;
    },
    findBatch,
    readBatch: (index): TokenBatch | null => {
      if (index >= batchEnds.readLength()) return null;
      const offset = readBatchStart(index);
      const isLast = index === batchEnds.readLength() - 1;
      return {
        offset,
        tokenIds: [...tokenIds.slice(offset - start.missingTokens, batchEnds.read(index))],
        text: readText(index),
        finishReason: isLast ? finishReason : null,
      };
    },
    computeChainAt: (offset) => {
      if (offset < start.missingTokens || offset > start.missingTokens + tokenIds.readLength())
        return null;
      return addTokensToChain(start.chain, tokenIds.slice(0, offset - start.missingTokens));
    },
    listTokenIds: () =>
      start.missingTokens > 0 ? null : [...tokenIds.slice(0, tokenIds.readLength())],
  };
};
