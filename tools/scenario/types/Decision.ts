/** A routing or placement decision as a process logged it. */
export interface Decision {
  readonly process: string;
  readonly kind: string;
  readonly requestId: string;
  readonly choice: string;
}
