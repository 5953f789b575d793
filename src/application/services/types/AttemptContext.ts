import type { Result } from 'neverthrow';
import type { GenerationError } from '../../ports';
import type { ServiceCall } from './ServiceCall';

/** One call's attempts, with what ends them. */
export interface AttemptContext {
  readonly source: ServiceCall;
  readonly repeatable: boolean;
  /** Monotonic time, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborts when the caller is gone or the deadline has passed. */
  readonly signal: AbortSignal;
  /** Called before the first byte is sent; an error ends the call unsent. */
  readonly acquireClaim: () => Promise<Result<void, GenerationError>>;
}
