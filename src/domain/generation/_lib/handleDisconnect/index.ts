import {
  StreamRetention,
  type GenerationInput,
  type GenerationState,
  type Transition,
} from '../../types';
import { findAttempt } from '../findAttempt';
import { replaceAttempt } from '../replaceAttempt';
import { resumeAttempt } from '../resumeAttempt';

/** Times in a row that one stream is read again without a token in between. */
const MAX_FRUITLESS_READS = 3;

/**
 * Handles a connection that broke after the request was sent.
 *
 * The stream is read again first, as that costs no token; if it breaks again and again, or another
 * attempt is under way already, the attempt is given up.
 *
 * @param state - Generation.
 * @param input - Where it broke.
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
  return isReplaced || isDropped || attempt.readsWithoutProgress >= MAX_FRUITLESS_READS
    ? replaceAttempt(state, attempt)
    : resumeAttempt(state, attempt);
};
