/** Parts of the bounds of all VMs that a VM holds, or that it has given back. */
export interface ShareHolding {
  /** VM that holds the parts; empty if they were given back. */
  readonly holder: string;
  /** Process that holds them: a VM that starts again is another one. */
  readonly incarnation: string;
  readonly parts: number;
  /** The parts are not used after this time, on the monotonic clock of the store. */
  readonly untilStoreMs: number;
}

/** Who holds which part of the bounds of all VMs; the holdings never exceed the whole. */
export interface ShareLedger {
  /** Era of the store in which it was written. */
  readonly era: number;
  /** Until then no free part is given out, as holdings may be missing here. */
  readonly closedUntilStoreMs: number;
  readonly holdings: readonly ShareHolding[];
}
