import {
  StreamRetention,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { replaceAttempt } from '../replaceAttempt';
import { resumeAttempt } from '../resumeAttempt';

/** Consecutive reads of a stream without a token before the attempt is replaced. */
const MAX_READS_WITHOUT_PROGRESS = 3;

/**
 * Handles a connection that broke after the request was sent.
 *
 * The stream is first read again, since that loses no tokens. The attempt is replaced if the
 * connection breaks repeatedly, if another attempt is already running, or if the engine drops
 * streams on disconnect.
 *
 * @param state - State of the generation.
 * @param input - Attempt and connection that broke.
 * @returns The next step.
 */
export const handleDisconnect = (
  state: GenerationState,
  input: Extract<GenerationInput, { kind: 'broken' }>,
): Transition => {
  const attempt = findAttempt(state, input.reader);
  if (!attempt) return { state, effects: [] };
  const isReplaced = attempt.silence !== 'none' && state.attempts.length > 1;
  const isDropped = state.policy.streamRetention === StreamRetention.Dropped;
  return isReplaced || isDropped || attempt.readsWithoutProgress >= MAX_READS_WITHOUT_PROGRESS
    ? replaceAttempt(state, attempt)
    : resumeAttempt(state, attempt);
};
