/** Delay of an event loop and its limit. */
export interface LoopDelay {
  readonly delayMs: number;
  readonly limitMs: number;
}

/** Highest share that is refused: a fleet in which all VMs are slow must still serve streams. */
const MAX_REFUSED_SHARE = 0.75;

/**
 * Computes the share of new streams that a VM refuses for the delay of its event loop: none up to
 * the limit, then as much as the delay exceeds it.
 *
 * @returns fraction from 0 to 0.75
 */
export const computeRefusedShare = ({ delayMs, limitMs }: LoopDelay): number =>
  delayMs <= limitMs ? 0 : Math.min(MAX_REFUSED_SHARE, 1 - limitMs / delayMs);
