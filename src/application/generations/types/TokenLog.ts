import type { TokenBatch } from '../../../domain/types';

/** Tokens of one generation as held in memory; only ever appended to. */
export interface TokenLog {
  /** Tokens held from the generation's start, without text for those that came as a prefix. */
  readEndOffset(): number;
  /** Chain digest after the last token. */
  readChain(): string;
  /** Finish reason of the last batch, or null. */
  readFinishReason(): string | null;
  append(batch: TokenBatch): void;
  /** Number of the batch that begins exactly at the offset, or null. */
  findBatch(offset: number): number | null;
  readBatch(index: number): TokenBatch | null;
  /** Chain digest after `offset` tokens, or null if they are not all held. */
  computeChainAt(offset: number): string | null;
  /** All tokens from the generation's start, or null if the first ones are not held. */
  listTokenIds(): readonly number[] | null;
}
