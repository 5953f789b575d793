/** Counts and times in milliseconds of one class of work; times are 0 without finished requests. */
export interface ClassTimes {
  readonly count: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly completionP50Ms: number;
  readonly completionP99Ms: number;
  readonly refused: number;
  readonly late: number;
  readonly failed: number;
}

/** Figures of one phase under one policy. */
export interface PhaseMetrics {
  readonly phase: string;
  readonly lookup: ClassTimes;
  readonly long: ClassTimes;
  /** Tokens of long answers that finished in the window, per second. */
  readonly goodputTokensPerSecond: number;
  /** Jain index of the long work served per workspace, relative to its max-min fair share. */
  readonly fairness: number;
  readonly wastedTokens: number;
  /** Share of attempts that ran in another availability zone than their entry. */
  readonly crossZoneShare: number;
  /** Requests that needed more than one attempt. */
  readonly resumed: number;
}
