/** Outcome of one scenario. */
export interface ScenarioResult {
  readonly name: string;
  /** Unmet expectations, or the error that ended the run; empty if the scenario passed. */
  readonly faults: readonly string[];
  readonly tookMs: number;
  /** Last log lines of each process if the scenario failed; otherwise empty. */
  readonly logs: string;
}
