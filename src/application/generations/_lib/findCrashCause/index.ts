import type { CrashCause } from '../../../crashes';
import type { GenerationRequest } from '../../../../domain/types';
import type { GenerationsDependencies } from '../../types';

/**
 * Finds out whether a request must not be sent, as it crashed engines at this VM or another.
 *
 * @param dependencies - Dependencies of the generations.
 * @param request - Request that is about to be sent.
 * @returns What it is refused for; null if it may be sent.
 */
export const findCrashCause = (
  { crashes }: Pick<GenerationsDependencies, 'crashes'>,
  { digest }: Pick<GenerationRequest, 'digest'>,
): CrashCause | null => {
  if (crashes.isEmpty()) return null;
  const cause = crashes.findCause({ request: digest, parts: [] });
  return cause && cause.remainingMs > 0 ? cause : null;
};
