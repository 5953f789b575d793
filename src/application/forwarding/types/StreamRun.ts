import type { SendDating } from '../../time';
import type { GapStatistics } from '../../../domain/detection';
import type { GenerationInput, GenerationState } from '../../../domain/generation';
import type { AnswerHead, ServerEntry } from '../../../domain/forwarding';
import type { PaceSample } from '../../../domain/paces';
import type { RequestCrashTracker } from '../../crashes';
import type { KvCopy } from '../../ports';
import type { ServerWork } from '../_lib/startServerWork';
import type { OverloadTracker } from '../_lib/createOverloadTracker';
import type { LatencyHistory } from '../../_lib/createLatencyHistory';
import type { Refusal } from './CallerReply';
import type { RequestArrivals } from '../createRequestArrivals';
import type { ForwardContext } from './ForwardContext';
import type { ForwardingDependencies } from './ForwardingDependencies';
import type { Retry } from './Retry';
import type { StreamGrant } from './StreamPlacement';

/** A copy of the run's KV cache, and the servers that can continue from it. */
export interface HeldCopy extends KvCopy {
  /** Ids of these servers, the best one first; never empty. */
  readonly holders: readonly [string, ...string[]];
  /** False before the run's first event: the server sends its KV cache only from then on. */
  readonly hasData: boolean;
  /** Stops counting the copy at its server. */
  readonly release: () => void;
}

/** What the scheduler of the service is told of an attempt. */
export interface ScheduledRun {
  /** KV memory that the run needs until its end, in tokens. */
  readonly kvTokens: number;
  /** Id of the server that holds the copy; null for none. */
  readonly backup: string | null;
  readonly grant: StreamGrant | null;
  /** Time from each event to the next, in milliseconds; no events yet: null. */
  eventGapsMs: number[] | null;
  readonly samples: PaceSample[];
}

/**
 * What a server that was asked to stop a run did: it stopped the run, did not know it any more, or
 * gave no usable answer.
 */
export type MigrationOutcome = 'stopped' | 'unknown-run' | 'unclear';

/** The mutable state of one attempt, besides the pure generation state. */
export interface StreamAttempt {
  readonly abort: AbortController;
  readonly server: ServerEntry;
  readonly work: ServerWork;
  /** False if the run goes on after events of another one, or from a copy of its memory. */
  readonly isFromStart: boolean;
  readonly sentAtMs: number;
  /**
   * When the response head arrived, that is, when the server began to run the request; null before.
   */
  headAtMs: number | null;
  /** False if the response ends with its connection, having neither a length nor chunks. */
  isFramed: boolean;
  /** VM that forwards the response; null if it comes from the server directly. */
  relay: string | null;
  /** When the server was last active, as far as the reader of its response could tell. */
  lastActivityMs: number;
  /** Dates what is read of the response. */
  readonly dating: SendDating;
  /** Earliest time at which the server can have sent what was last read of it. */
  heardSinceMs: number;
  gaps: GapStatistics;
  hasDeliveredEvent: boolean;
  /** True if the server had no other prompt to process before this one. */
  readonly wasServerIdle: boolean;
  /** Expected time to the first event; 0 if unknown. */
  readonly expectedFirstEventMs: number;
  /** Null if the service is not scheduled, or if the grant was cancelled. */
  scheduled: ScheduledRun | null;
  stopSilenceWatch: () => void;
  stopCopyWatch: () => void;
  /** Set once the server was asked to stop the run, so that it continues elsewhere. */
  migration: Promise<MigrationOutcome> | null;
}

/** A stream that is forwarded to one or more servers. */
export interface StreamRun {
  readonly dependencies: ForwardingDependencies;
  readonly context: ForwardContext;
  readonly crashes: RequestCrashTracker;
  readonly paces: LatencyHistory;
  readonly overload: OverloadTracker;
  readonly attempts: Map<number, StreamAttempt>;
  readonly readState: () => GenerationState;
  readonly dispatch: (input: GenerationInput) => void;
  /** True once the caller has the complete response or has disconnected. */
  readonly isEnded: () => boolean;
  /** Aborts at that time. */
  readonly ended: AbortSignal;
  /** Ends a run of which nothing was sent to any server. */
  readonly refuse: (refusal: Refusal) => void;
  /** Copy from which the next attempt may continue. */
  copy: HeldCopy | null;
  /** Attempts that processed the prompt. */
  prefillAttempts: number;
  /** Attempts that reached a server, or may still do so. Every further one counts as a retry. */
  readonly arrivals: RequestArrivals;
  /** The retry of the next attempt, if it was acquired already. */
  reservedRetry: Retry | null;
  /** True if the next attempt, or the current one, is the trial of a prompt part. */
  isTrial: boolean;
  /** When the newest event was forwarded; null before the first one. */
  lastEventAtMs: number | null;
  /** Longest time between two events so far. */
  longestPauseMs: number;
  /** A server's error response, forwarded if no later attempt succeeds. */
  failedResponse: { readonly head: AnswerHead; readonly body: Buffer } | null;
}
