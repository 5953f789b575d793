/** Load that a server reports with an answer. */
export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the server's machine now; 1 is as usual, null if it does not say. */
  readonly workFactor: number | null;
}
