import type { StreamFailure } from './StreamFailure';

/**
 * Ends the iteration when the generation cannot be had whole. Thrown rather than yielded: an
 * answer that was cut short must not be taken for a finished one by a loop that ignores it.
 */
export class GenerationLostError extends Error {
  /** The system's stable error code, or `connection_failed`, `response_malformed`, `aborted`. */
  readonly code: string;

  /** What is known of whether the request ran: `not-run`, `ran` or `unknown`. */
  readonly runState: string;

  /** The system's id of the last request, or empty. */
  readonly requestId: string;

  /** Tokens that were yielded before. */
  readonly tokensReceived: number;

  constructor(failure: StreamFailure, tokensReceived: number) {
    super(`the generation was lost after ${tokensReceived} tokens: ${failure.message}`);
    this.name = 'GenerationLostError';
    this.code = failure.code;
    this.runState = failure.runState;
    this.requestId = failure.requestId;
    this.tokensReceived = tokensReceived;
  }
}
