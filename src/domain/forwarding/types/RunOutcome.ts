/** How a server fared that began to run a request, or may have begun. */
export interface RunOutcome {
  /** What the request has in common with its repetitions (`computeFingerprint`). */
  readonly fingerprint: string;
  readonly requestId: string;
  /** The incarnation of the server (`formatIncarnation`). */
  readonly server: string;
  /** True: it ended; false: it answered. */
  readonly hasCrashed: boolean;
  /** When that showed, in monotonic milliseconds of this process. */
  readonly atMs: number;
}

/** An outcome as VMs tell it to each other. */
export interface SharedOutcome extends Omit<RunOutcome, 'atMs'> {
  /** How long ago it showed, in milliseconds. */
  readonly ageMs: number;
}
