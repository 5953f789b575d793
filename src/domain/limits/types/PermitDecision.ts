/** Whether a request may be sent to a server with a rate limit. */
export interface PermitDecision {
  readonly isGranted: boolean;
  /** Time after which it makes sense to ask again, in milliseconds; 0 if granted. */
  readonly waitMs: number;
}
