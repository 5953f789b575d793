/** A demand that waits for a slot. */
export interface Waiter {
  readonly id: number;
  readonly workspace: string;
  /** True: a resume or a retry, which had its turn before. */
  readonly comesFirst: boolean;
  /** Virtual time at which its service would start under weighted fair queueing. */
  readonly startTag: number;
}
