import type { TokenBatch } from '../../../domain/types';

/** Append-only log of the tokens of one generation in memory; tokens of a prefix have no text. */
export interface TokenLog {
  /** Offset after the last token, counted from the start of the generation. */
  readEndOffset(): number;
  /** Chain digest after the last token. */
  readChain(): string;
  /** Finish reason of the last batch, or null. */
  readFinishReason(): string | null;
  append(batch: TokenBatch): void;
  /** Index of the batch that starts exactly at the offset, or null. */
  findBatch(offset: number): number | null;
  readBatch(index: number): TokenBatch | null;
  /** Chain digest after `offset` tokens, or null if they are not all held. */
  computeChainAt(offset: number): string | null;
  /** All tokens from the generation's start, or null if the first ones are not held. */
  listTokenIds(): readonly number[] | null;
}
