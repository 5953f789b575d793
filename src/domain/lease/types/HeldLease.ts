/** A lease that this process holds. */
export interface HeldLease {
  /** Revision of the newest renewal; used as the fencing token. */
  readonly revision: number;
  /** Monotonic time just before the newest renewal was sent, in milliseconds. */
  readonly renewedAtMs: number;
  readonly durationMs: number;
}
