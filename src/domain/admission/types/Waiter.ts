/** A demand that waits for a slot. */
export interface Waiter {
  readonly id: number;
  readonly workspace: string;
  /** True for a resume or a retry, which has already been served once. */
  readonly comesFirst: boolean;
  /** Virtual time at which the demand would be served under weighted fair queueing. */
  readonly startTag: number;
}
