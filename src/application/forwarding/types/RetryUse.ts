/** What a VM has used of the retries of a service in the present window. */
export interface RetryUse {
  /** Retries that the VM may use, lent ones included. */
  readonly allowed: number;
  readonly requests: number;
  /** Retries that were acquired or lent, and not released. */
  readonly retries: number;
  /** Retries whose attempts have neither arrived nor surely not been sent. */
  readonly open: number;
  /** Retries that the VM may use whatever its requests. */
  readonly fixed: number;
}
