import type { Result } from 'neverthrow';
import type { Cursor, GenerationRequest, RunState, TokenBatch } from '../../domain/types';

/** Final error of a generation as the caller gets it. */
export interface GenerationError {
  /** Stable code, for example `queue_full` or `prefix_mismatch`. */
  readonly code: string;
  readonly message: string;
  /** HTTP status if nothing was sent yet. */
  readonly status: number;
  readonly runState: RunState;
  /** When to come back, in milliseconds; 0 if that cannot help. */
  readonly retryAfterMs: number;
}

/** One event of a generation as a caller gets it. */
export type GenerationEvent =
  | { readonly kind: 'tokens'; readonly batch: TokenBatch; readonly cursor: Cursor }
  | { readonly kind: 'failed'; readonly error: GenerationError };

/** One caller's view of a generation; several may follow the same one. */
export interface GenerationFeed {
  readonly generationId: string;
  /** Batches in order from the asked offset; ends after a finish reason or a failure. */
  readonly events: AsyncIterable<GenerationEvent>;
  /** The caller is gone; the generation goes on for the configured time. */
  detach(): void;
}

/** A caller that comes back with a cursor it was given. */
export interface ResumeRequest {
  readonly requestId: string;
  /** Verified, and of the caller's own workspace. */
  readonly cursor: Cursor;
  /** Tokens that the caller holds, if it sends them. */
  readonly prefixTokenIds: readonly number[] | null;
  /** The original request, if the caller sends it again. */
  readonly request: GenerationRequest | null;
}

/** Generations that this entry runs or relays. */
export interface Generations {
  /** Starts a generation, or attaches to the one that the same key already has. */
  startGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): Promise<Result<GenerationFeed, GenerationError>>;
  resumeGeneration(
    resume: ResumeRequest,
    signal: AbortSignal,
  ): Promise<Result<GenerationFeed, GenerationError>>;
  /** Follows a generation held in this VM's memory, for a peer; null if it is not held. */
  findGeneration(workspace: string, generationId: string, offset: number): GenerationFeed | null;
  cancelGeneration(workspace: string, generationId: string): Promise<boolean>;
  countRunning(): number;
}
