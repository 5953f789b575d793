/** Whether a request may be sent to a server with a rate limit. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** Time to wait before asking again, in milliseconds; 0 if granted. */
  readonly waitMs: number;
}
