import type { GapStatistics } from '../../../../domain/detection';
import type { AttemptHandle } from '../../types';

/**
 * Creates the handle of an attempt that has no slot yet.
 *
 * @param attempt - Number of the attempt.
 * @param nowMs - Monotonic time, in milliseconds.
 * @param gaps - Gap statistics to start with, until the attempt has gaps of its own.
 * @returns Handle.
 */
export const createAttemptHandle = (
  attempt: number,
  nowMs: number,
  gaps: GapStatistics,
): AttemptHandle => ({
  attempt,
  abort: new AbortController(),
  streamId: '',
  server: null,
  slot: null,
  stream: null,
  isAtEngine: false,
  sentAtMs: nowMs,
  firstTokenMs: 0,
  lastActivityMs: nowMs,
  gaps,
  deliveredTokens: 0,
});
