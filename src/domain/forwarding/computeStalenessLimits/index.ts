import type { GatewayBounds } from '../types';

/** How VMs share what few of them read from the store. */
export interface StalenessLimits {
  /** What a VM that reads may know grows no older between two answers. */
  readonly freshMs: number;
  /** A VM whose knowledge is older than this asks the store itself. */
  readonly staleMs: number;
}

/**
 * From knowledge that grew too old to a change being in force: a call that is lost (0.6 s), the pause
 * after it, the next call, and a configuration of 2,000 routes over a slow link (0.6 s).
 */
const RECOVER_MS = 1500;

/** Below this, a VM that reads would ask more often than all of them together do alone. */
const MIN_STALE_MS = 1000;

/** In the time in which knowledge grows stale, a VM that is lost is found out and replaced. */
const FRESH_PART = 0.5;

/**
 * Computes how VMs share what few of them read from the store; null where a change must be in force
 * so soon that each VM has to follow the store itself.
 *
 * It bounds how old knowledge may get before a VM does not rely on others any more: absence of news
 * must not be taken for absence of changes for longer than a change has, less the time to make good.
 *
 * @example
 * computeSharing({ changeMs: 4000 }); // { freshMs: 1250, staleMs: 2500 }
 * computeSharing({ changeMs: 2000 }); // null
 */
export const computeStalenessLimits = ({
  changeMs,
}: Pick<GatewayBounds, 'changeMs'>): StalenessLimits | null => {
  const staleMs = changeMs - RECOVER_MS;
  return staleMs < MIN_STALE_MS ? null : { freshMs: staleMs * FRESH_PART, staleMs };
};
