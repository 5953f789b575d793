import type { PhaseMetrics } from './PhaseMetrics';

/** A goal with the measured value. */
export interface GoalResult {
  readonly goal: string;
  readonly measured: number;
  readonly limit: number;
  readonly isMet: boolean;
}

/** Report of the bench: figures of all policies. */
export interface BenchReport {
  readonly deployment: string;
  readonly seed: number;
  readonly secondsPerPhase: number;
  readonly decision: {
    readonly backEnds: number;
    readonly p50Us: number;
    readonly p99Us: number;
  };
  readonly policies: Readonly<Record<string, readonly PhaseMetrics[]>>;
  readonly goals: readonly GoalResult[];
}
