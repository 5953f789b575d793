import { computeTokenBucketLevel } from '../computeTokenBucketLevel';
import type { PermitDecision } from '../types';

/** Inputs of the decision. */
export interface PermitOptions {
  /** Times at which requests were sent to the server, in ascending order. */
  readonly sentAtMs: readonly number[];
  /** Rate limit of the server in requests per second, above 0. */
  readonly limitPerS: number;
  readonly nowMs: number;
  /** VMs that recently asked for permits of this server. */
  readonly askingVms: number;
  /** Random number, from 0 inclusive to 1 exclusive. */
  readonly draw: number;
  /**
   * Requests by which the limit may be exceeded: a VM that confirms a permit decides a little
   * later.
   */
  readonly slack?: number;
}

/** Requests for each permit: enough that no permit stays unused, and few enough to cost little. */
const ASKS_PER_PERMIT = 8;

const MIN_WAIT_MS = 20;
const MAX_WAIT_MS = 2000;

const MS_PER_S = 1000;

/**
 * Decides whether a request may be sent to a server with a rate limit.
 *
 * Under a load of many times the limit from many VMs, the refused ones ask again at random times
 * within the time that it takes to serve all of them.
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
  const jitterMs = (2 * draw * askingVms * msPerPermit) / ASKS_PER_PERMIT;
  const waitMs = missing * msPerPermit + jitterMs;
  return {
    isGranted: false,
    waitMs: Math.round(Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, waitMs))),
  };
};
