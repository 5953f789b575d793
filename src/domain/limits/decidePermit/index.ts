import { computeTokenBucketLevel } from '../computeTokenBucketLevel';
import type { PermitDecision } from '../types';

/** What the decision follows from. */
export interface PermitOptions {
  /** When requests were sent to the server, in order. */
  readonly sentAtMs: readonly number[];
  /** Requests a second that the server takes, above 0. */
  readonly limitPerS: number;
  readonly nowMs: number;
  /** VMs that asked for permits of this server lately. */
  readonly askingVms: number;
  /** From 0 inclusive to 1 exclusive. */
  readonly draw: number;
  /** Requests by which the limit may be exceeded: whoever only confirms a permit sees it a little later. */
  readonly slack?: number;
}

/** Questions for each permit: enough that none is left over, and few enough to cost little. */
const ASKS_PER_PERMIT = 8;

const MIN_WAIT_MS = 20;
const MAX_WAIT_MS = 2000;

const MS_PER_S = 1000;

/**
 * Decides whether a request may be sent to a server with a rate limit. Made for loads of many times the
 * limit from many VMs: those that are turned down come back spread over the time that it takes to
 * serve them.
 */
export const decidePermit = ({
  askingVms,
  draw,
  limitPerS,
  nowMs,
  sentAtMs,
  slack = 0,
}: PermitOptions): PermitDecision => {
  const missing = 1 - slack - computeTokenBucketLevel({ sentAtMs, limitPerS, nowMs });
  if (missing <= 0) return { isGranted: true, waitMs: 0 };
  const msPerPermit = MS_PER_S / limitPerS;
  const spreadMs = (2 * draw * askingVms * msPerPermit) / ASKS_PER_PERMIT;
  const waitMs = missing * msPerPermit + spreadMs;
  return {
    isGranted: false,
    waitMs: Math.round(Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs))),
  };
};
