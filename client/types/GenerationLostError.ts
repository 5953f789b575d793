import type { StreamFailure } from './StreamFailure';

/**
 * Ends the iteration if the generation cannot be completed. Thrown rather than yielded, so that a
 * loop that ignores failures cannot treat a truncated answer as complete.
 */
export class GenerationLostError extends Error {
  /** The system's stable error code, or `connection_failed`, `response_malformed`, `aborted`. */
  readonly code: string;

  /** Whether the request ran, as far as is known: `not-run`, `ran` or `unknown`. */
  readonly runState: string;

  /** Request id that the system gave the last request, or empty. */
  readonly requestId: string;

  /** Number of tokens yielded before the failure. */
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
