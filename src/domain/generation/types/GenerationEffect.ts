import type { RunState, StreamChunk, SuspicionCause } from '../../types';
import type { Attempt, ReaderId } from './Attempt';

/** Why a generation ended without a finish reason. */
export interface GenerationFailure {
  readonly code: string;
  readonly message: string;
  readonly status: number;
  readonly runState: RunState;
  readonly retryAfterMs: number;
}

/** An action that the caller of `updateGeneration` must perform after an input. */
export type GenerationEffect =
  /** Acquire a slot on a server that is not excluded, and continue from the tokens held. */
  | {
      readonly kind: 'open-attempt';
      readonly reader: ReaderId;
      readonly purpose: Attempt['purpose'];
      readonly excludedServers: readonly string[];
    }
  /** Read the same stream of the same server again, from the offset. */
  | { readonly kind: 'resume-stream'; readonly reader: ReaderId; readonly offset: number }
  /** Stop an attempt here and at its engine. */
  | { readonly kind: 'cancel-attempt'; readonly attempt: number }
  /** Stop reading without cancelling the stream at the engine. */
  | { readonly kind: 'detach-attempt'; readonly attempt: number }
  | { readonly kind: 'deliver'; readonly attempt: number; readonly batch: StreamChunk }
  | { readonly kind: 'retry-later'; readonly delayMs: number }
  | {
      readonly kind: 'suspect-server';
      readonly backendServer: string;
      readonly cause: SuspicionCause;
      readonly confirmed: boolean;
    }
  | { readonly kind: 'finish'; readonly finishReason: string }
  | { readonly kind: 'fail'; readonly failure: GenerationFailure };
