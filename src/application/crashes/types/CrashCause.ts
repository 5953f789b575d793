import type { RunOutcome } from '../../../domain/crashes';

/** What a request has that crashed servers, so that it is not sent. */
export interface CrashCause {
  /** Whether the whole request is responsible, or one of its prompt parts. */
  readonly kind: 'request' | 'part';
  /** False if the servers may have been lost for another reason; the request is held back shortly. */
  readonly isCertain: boolean;
  /** Fingerprints of what is responsible; several if the cause may be any of them. */
  readonly fingerprints: readonly [string, ...string[]];
  readonly crashes: number;
  /** Time until such a request is tried again; 0 if a trial is due. */
  readonly remainingMs: number;
  /** Least time between two trials of all VMs; infinite if there is no further trial. */
  readonly trialPauseMs: number;
  /** Crashes of which it is not known yet whether the server only lost its connection. */
  readonly unconfirmed: readonly RunOutcome[];
}
