/** Time that stands for a complete run in `RunOutcome.ranMs`: longer than any crashed one. */
export const WHOLE_RUN_MS = 86_400_000;

/** Crashes of servers within this time of each other are taken to have one common cause. */
export const SAME_CAUSE_MS = 250;

/** Outcome of a run on a server that started it, or may have started it. */
export interface RunOutcome {
  /**
   * Fingerprint shared by all retries of the request (`computeFingerprint`), or by all requests with
   * one of its prompt parts (`formatPartFingerprint`).
   */
  readonly fingerprint: string;
  /**
   * Id of the request; for a prompt part the fingerprint of the request, so that its retries count
   * as one.
   */
  readonly requestId: string;
  /** Incarnation of the server (`formatIncarnation`). */
  readonly server: string;
  /** True if the server crashed, false if it answered. */
  readonly hasCrashed: boolean;
  /** False if the server may only have lost its connection; true for an answer. */
  readonly isConfirmed: boolean;
  /**
   * How long the server had run the request, in milliseconds. For an answer: for how long the run is
   * known to have gone on, `WHOLE_RUN_MS` if it is complete.
   */
  readonly ranMs: number;
  /**
   * Fingerprints of the request's prompt parts, for a crash under a whole request; absent for a prompt
   * part, and from VMs of earlier versions.
   */
  readonly parts?: readonly string[];
  /**
   * True if the run had gone on for long: its end is no evidence by itself, and counts only in comparison
   * with other runs; absent otherwise.
   */
  readonly isLate?: boolean;
  /**
   * True if the sender holds the prompt part responsible for its share of crashes, this one included;
   * absent otherwise.
   */
  readonly isJudged?: boolean;
  /** When the outcome was detected, in monotonic milliseconds of this process. */
  readonly atMs: number;
}

/** An outcome as VMs exchange it. */
export interface SharedOutcome extends Omit<RunOutcome, 'atMs'> {
  /** Time since the outcome was detected, in milliseconds. */
  readonly ageMs: number;
}
