/** Verdict on one stream as its caller received it. */
export interface ChainReport {
  /** Tokens received in their right place. */
  readonly tokens: number;
  /** Positions that were skipped, or that the end of the stream left out. */
  readonly missing: number;
  /** Tokens at a position that was already received. */
  readonly repeated: number;
  /** Tokens, or pieces of text, that do not follow from the prompt and the tokens before them. */
  readonly mixed: number;
  readonly ok: boolean;
}
