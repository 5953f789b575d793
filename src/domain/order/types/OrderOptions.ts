/** Limits and times under which orders are planned; times in milliseconds. */
export interface OrderOptions {
  readonly fencingToken: number;
  /** Monotonic time. */
  readonly nowMs: number;
  /** Models that may be loading at once, over all engines: the weight store's share. */
  readonly maxLoads: number;
  /** The same order is sent again after this long: its answer, or the engine's memory, was lost. */
  readonly resendAfterMs: number;
  /**
   * If a new version did not load beside the old one in this time, the engine has no room for both:
   * the old one is unloaded first, provided that another engine serves the model.
   */
  readonly sideBySideTimeoutMs: number;
  /** True: the weight store asked to wait; no order that loads anything. */
  readonly loadsBlocked: boolean;
}
