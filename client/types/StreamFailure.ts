/** Why one connection ended before the generation did. */
export interface StreamFailure {
  readonly code: string;
  readonly message: string;
  readonly runState: string;
  readonly requestId: string;
  /** False: asking again cannot help. */
  readonly retryable: boolean;
  /** Time the system asked for before the next request, in milliseconds; 0 if it named none. */
  readonly retryAfterMs: number;
}
