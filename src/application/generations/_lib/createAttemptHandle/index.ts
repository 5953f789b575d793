import { NO_GAPS } from '../../../../domain/detection';
import type { AttemptHandle } from '../../types';

/**
 * Creates the handle of an attempt that has no slot yet.
 *
 * @param attempt - Number of the attempt.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns Handle.
 */
export const createAttemptHandle = (attempt: number, nowMs: number): AttemptHandle => ({
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
  gaps: NO_GAPS,
  deliveredTokens: 0,
});
