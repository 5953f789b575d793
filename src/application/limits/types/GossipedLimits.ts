import type { SharedLimit } from '../../../domain/limits';

/** What gossip asks of those who know limits. */
export interface GossipedLimits {
  /** True if it was news. */
  mergeLimit(limit: SharedLimit): boolean;
  listLimits(): readonly SharedLimit[];
}
