import type { GapStatistics } from '../../../domain/detection';
import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { AnswerHead, ServerEntry } from '../../../domain/forwarding';
import type { KvCopy } from '../../ports';
import type { ServerWork } from '../_lib/startServerWork';
import type { OverloadTracker } from '../_lib/createOverloadTracker';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { Refusal } from './CallerReply';
import type { ForwardContext } from './ForwardContext';
import type { ForwardingDependencies } from './ForwardingDependencies';

/** A copy of the run's KV memory, and which servers it may go on at. */
export interface HeldCopy extends KvCopy {
  /** Ids of these servers, the best one first; never empty. */
  readonly holders: readonly [string, ...string[]];
  /** False: nothing of the run was copied yet, as its memory is only sent from its first event on. */
  readonly hasData: boolean;
  /** Ends its count at that server. */
  readonly release: () => void;
}

/** What belongs to one attempt of a stream outside of the pure state. */
export interface StreamAttempt {
  readonly abort: AbortController;
  readonly server: ServerEntry;
  readonly work: ServerWork;
  readonly sentAtMs: number;
  /** When the server's head came: it has begun to run the request; null before. */
  headAtMs: number | null;
  lastActivityMs: number;
  gaps: GapStatistics;
  hasDeliveredEvent: boolean;
  /** True: no other prompt was to be read there before this one. */
  readonly wasServerIdle: boolean;
  /** Time that the first event is expected to take; 0 if not known. */
  readonly expectedFirstEventMs: number;
  stopSilenceWatch: () => void;
  stopCopyWatch: () => void;
  /** True: it was asked to stop, so that the run goes on elsewhere. */
  isMigrating: boolean;
}

/** A stream on its way through one or more servers. */
export interface StreamRun {
  readonly dependencies: ForwardingDependencies;
  readonly context: ForwardContext;
  /** The same each time that its caller sends it (`computeFingerprint`). */
  readonly fingerprint: string;
  readonly paces: LatencyHistory;
  readonly overload: OverloadTracker;
  readonly attempts: Map<number, StreamAttempt>;
  readonly readState: () => GenerationState;
  readonly dispatch: (input: GenerationInput) => void;
  /** True once its caller has the end, or has left. */
  readonly isEnded: () => boolean;
  /** Ends a run of which nothing was sent to any server. */
  readonly refuse: (refusal: Refusal) => void;
  /** Copy from which the next attempt may go on. */
  copy: HeldCopy | null;
  /** Attempts that read the prompt. */
  prefillAttempts: number;
  /** Attempts that reached a server: the next one that does counts as a repeat. */
  arrivedAttempts: number;
  /** True: the next attempt's repeat was acquired already. */
  hasReservedRetry: boolean;
  /** When the newest event was handed on; null before the first one. */
  lastEventAtMs: number | null;
  /** Longest time between two events so far. */
  longestPauseMs: number;
  /** A server's own failure, handed on if nothing better comes. */
  failedResponse: { readonly head: AnswerHead; readonly body: Buffer } | null;
}
