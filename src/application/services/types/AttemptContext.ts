import type { Result } from 'neverthrow';
import type { GenerationError } from '../../ports';
import type { ServiceCall } from './ServiceCall';

/** Data that all attempts of one call share. */
export interface AttemptContext {
  readonly source: ServiceCall;
  /** True if the call may be sent more than once. */
  readonly repeatable: boolean;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Called before the first byte is sent; an error ends the call without sending it. */
  readonly acquireClaim: () => Promise<Result<void, GenerationError>>;
}
