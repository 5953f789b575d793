/** How long work takes on a server, relative to what is usual for its service. */
export interface RelativePace {
  /** Under the usual conditions of the server's machine; 1 is as usual, 2 twice as long. */
  readonly ratio: number;
  /** How long work takes at present on its machine; 1 is as usual. */
  readonly workFactor: number;
  /** Product of both: how long work takes now. */
  readonly slowness: number;
}
