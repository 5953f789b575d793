/** A change of an engine's prompt cache. Arrives late, repeated, or not at all. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Digests of prompt prefixes (see `computePrefixDigests`); empty for `cleared`. */
  readonly prefixes: readonly string[];
}
