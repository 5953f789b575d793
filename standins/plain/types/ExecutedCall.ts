/** A call that the service executed; a call that ran twice stands here twice. */
export interface ExecutedCall {
  /** `Jackdaw-Request-Id` of the call, or empty. */
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}
