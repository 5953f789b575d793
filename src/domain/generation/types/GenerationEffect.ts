import type { RunState, StreamChunk, SuspicionCause } from '../../types';
import type { Attempt, ReaderId } from './Attempt';

/** Why a generation ended without its finish reason. */
export interface GenerationFailure {
  readonly code: string;
  readonly message: string;
  readonly status: number;
  readonly runState: RunState;
  readonly retryAfterMs: number;
}

/** What is to be done after an input, in order. */
export type GenerationEffect =
  /** Get a slot on a server that is not excluded, and go on from the tokens held. */
  | {
      readonly kind: 'open-attempt';
      readonly reader: ReaderId;
      readonly purpose: Attempt['purpose'];
      readonly excludedServers: readonly string[];
    }
  /** Read the same stream of the same server again from the offset. */
  | { readonly kind: 'resume-stream'; readonly reader: ReaderId; readonly offset: number }
  /** Stop an attempt, also at its engine. */
  | { readonly kind: 'cancel-attempt'; readonly attempt: number }
  /** Stop reading, but let the engine's stream be. */
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
