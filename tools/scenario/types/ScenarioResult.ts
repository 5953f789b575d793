/** Outcome of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  /** Empty if everything held. */
  readonly faults: readonly string[];
  readonly tookMs: number;
  /** Last lines of each process, for a scenario that failed. */
  readonly logs: string;
}
