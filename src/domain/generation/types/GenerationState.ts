import type { SurvivalMode } from '../../types';
import type { Attempt } from './Attempt';

/** What engines do with a stream whose connection ends. */
export const StreamRetention = {
  /** It is kept for a while and can be read again; another attempt may run beside it. */
  Kept: 'kept',
  /** It is dropped; the next attempt begins only once this one's connection is closed. */
  Dropped: 'dropped',
} as const;

/** One of the things that engines do with a stream whose connection ends. */
export type StreamRetention = (typeof StreamRetention)[keyof typeof StreamRetention];

/** What decides how a generation may be continued; fixed for its life. */
export interface GenerationPolicy {
  readonly mode: SurvivalMode;
  /** False: once an engine may have begun, no other attempt is ever sent. */
  readonly idempotent: boolean;
  /** True: its answer is kept under a key, so it goes on without a caller. */
  readonly keyed: boolean;
  /** True: the request and every token from 0 are held here, so another engine can go on. */
  readonly continuable: boolean;
  /** In the unit of `offset`; infinite where the engine alone knows the end. */
  readonly maxOutputTokens: number;
  /** What an engine does with a stream whose connection ends. */
  /** Kept, if absent. */
  readonly streamRetention?: StreamRetention;
}

/** Everything that decides the next step of a generation; its tokens are held elsewhere. */
export interface GenerationState {
  readonly policy: GenerationPolicy;
  readonly phase: 'running' | 'parked' | 'finished' | 'failed';
  /** Position: tokens delivered since the start, or the id of the last event delivered. */
  readonly offset: number;
  /** Attempts that may deliver the next token; the oldest first. */
  readonly attempts: readonly Attempt[];
  /** Number of the newest attempt; numbers only grow. */
  readonly newestAttempt: number;
  /** Servers that failed since the last token. */
  readonly excludedServers: readonly string[];
  /** Attempts in a row that brought no token. */
  readonly attemptsWithoutProgress: number;
  /** Engines in a row that ended after they got it, and before a token. */
  readonly crashes: number;
  /** True: an engine may have begun to run it. */
  readonly mayHaveStarted: boolean;
  readonly callers: number;
}
