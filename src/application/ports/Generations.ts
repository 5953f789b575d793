import type { Result } from 'neverthrow';
import type { Cursor, GenerationRequest, RunState, TokenBatch } from '../../domain/types';

/** Final error of a generation as sent to the caller. */
export interface GenerationError {
  /** Stable code, for example `queue_full` or `prefix_mismatch`. */
  readonly code: string;
  readonly message: string;
  /** HTTP status, used if nothing was sent to the caller yet. */
  readonly status: number;
  readonly runState: RunState;
  /** Delay before a retry, in milliseconds; 0 if a retry cannot succeed. */
  readonly retryAfterMs: number;
}

/** An event of a generation as sent to a caller. */
export type GenerationEvent =
  | { readonly kind: 'tokens'; readonly batch: TokenBatch; readonly cursor: Cursor }
  | { readonly kind: 'failed'; readonly error: GenerationError };

/** One caller's view of a generation; several may follow the same one. */
export interface GenerationFeed {
  readonly generationId: string;
  /** Events in order from the requested offset; ends after a finish reason or a failure. */
  readonly events: AsyncIterable<GenerationEvent>;
  /** Detaches the caller; the generation continues for the configured time. */
  detach(): void;
}

/** Request of a caller that resumes a generation from a cursor. */
export interface ResumeRequest {
  readonly requestId: string;
  /** Verified to be authentic and of the caller's own workspace. */
  readonly cursor: Cursor;
  /** Tokens that the caller already received, if the caller sends them. */
  readonly prefixTokenIds: readonly number[] | null;
  /** The original request, if the caller sends it again. */
  readonly request: GenerationRequest | null;
}

/** Generations that this VM runs or relays. */
export interface Generations {
  /** Starts a generation, or attaches to the one that the same idempotency key already started. */
  startGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<GenerationFeed, GenerationError>>;
  resumeGeneration(
    resume: ResumeRequest,
    signal: AbortSignal,
  ): Promise<Result<GenerationFeed, GenerationError>>;
  /** Attaches a peer to a generation held in this VM's memory; null if it is not held. */
  findGeneration(workspace: string, generationId: string, offset: number): GenerationFeed | null;
  cancelGeneration(workspace: string, generationId: string): Promise<boolean>;
  countRunning(): number;
}
