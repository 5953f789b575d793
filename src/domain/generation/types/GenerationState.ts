import type { SurvivalMode } from '../../types';
import type { Attempt } from './Attempt';

/** How engines treat a stream whose connection ends. */
export const StreamRetention = {
  /** The stream is kept for a while and can be read again; another attempt may run in parallel. */
  Kept: 'kept',
  /** The stream is dropped; the next attempt starts only after this connection is closed. */
  Dropped: 'dropped',
} as const;

/** One of the ways in which engines treat a stream whose connection ends. */
export type StreamRetention = (typeof StreamRetention)[keyof typeof StreamRetention];

/** Rules for continuing a generation after a failure; constant during the generation. */
export interface GenerationPolicy {
  readonly mode: SurvivalMode;
  /** False: once an engine may have started the request, no other attempt is sent. */
  readonly idempotent: boolean;
  /** True: the answer is stored under an idempotency key; the generation runs without callers. */
  readonly keyed: boolean;
  /** True: this VM holds the request and all tokens from 0, so another engine can continue. */
  readonly continuable: boolean;
  /** In the unit of `offset`; infinite where only the engine knows the end. */
  readonly maxOutputTokens: number;
  /** How engines treat a stream whose connection ends; `Kept` if absent. */
  readonly streamRetention?: StreamRetention;
}

/** Input to the next decision about a generation; the tokens are stored elsewhere. */
export interface GenerationState {
  readonly policy: GenerationPolicy;
  readonly phase: 'running' | 'parked' | 'finished' | 'failed';
  /** Position: number of tokens delivered since the start, or id of the last delivered event. */
  readonly offset: number;
  /** Attempts that may deliver the next token, oldest first. */
  readonly attempts: readonly Attempt[];
  /** Number of the newest attempt; numbers increase monotonically. */
  readonly newestAttempt: number;
  /** Servers that have failed since the last token. */
  readonly excludedServers: readonly string[];
  /** Consecutive attempts that delivered no token. */
  readonly attemptsWithoutProgress: number;
  /** Consecutive engines that crashed after they received the request and before a token. */
  readonly crashes: number;
  /** True: an engine may have started to run the request. */
  readonly mayHaveStarted: boolean;
  /** Number of callers that follow the generation. */
  readonly callers: number;
}
