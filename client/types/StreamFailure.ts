/** Why a connection ended before the generation finished. */
export interface StreamFailure {
  readonly code: string;
  readonly message: string;
  readonly runState: string;
  readonly requestId: string;
  /** False if a retry cannot succeed. */
  readonly retryable: boolean;
  /** Minimum delay before the next request, in milliseconds; 0 if the system asked for none. */
  readonly retryAfterMs: number;
}
