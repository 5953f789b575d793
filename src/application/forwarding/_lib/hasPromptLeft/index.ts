import type { StreamRun } from '../../types';

/** True if the route allows to send the prompt to another server. */
export const hasPromptLeft = ({ context, prefillAttempts }: StreamRun): boolean =>
  prefillAttempts < context.route.maxAttempts;
