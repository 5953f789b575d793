/** Limits and times for planning orders; times in milliseconds. */
export interface OrderOptions {
  readonly fencingToken: number;
  /** Monotonic time. */
  readonly nowMs: number;
  /**
   * Maximum number of concurrent model loads over all engines, to limit load on the weight store.
   */
  readonly maxLoads: number;
  /** Interval for resending an unfulfilled order, whose response or effect may have been lost. */
  readonly resendAfterMs: number;
  /**
   * Timeout for loading a new version beside the old one. After it, the engine is assumed to lack
   * memory for both, and the old version is unloaded first if another engine serves the model.
   */
  readonly sideBySideTimeoutMs: number;
  /** True: the weight store asked to wait, so no order that loads a model is sent. */
  readonly loadsBlocked: boolean;
}
