import type { SharedLimit } from '../../../domain/limits';

/** The rate limits as gossip reads and updates them. */
export interface GossipedLimits {
  /** Merges a limit that another VM reported; returns true if it was new. */
  mergeLimit(limit: SharedLimit): boolean;
  listLimits(): readonly SharedLimit[];
}
