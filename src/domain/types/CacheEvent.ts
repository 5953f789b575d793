/** A change of an engine's prompt cache. Events may arrive late, repeatedly or not at all. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed' | 'cleared';
  /** Digests of prompt prefixes (see `computePrefixDigests`); empty for `cleared`. */
  readonly prefixes: readonly string[];
}
