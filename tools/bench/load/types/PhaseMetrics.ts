/** Times of one class of work, in milliseconds; 0 without any. */
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
  /** Tokens of long answers finished in the window, a second. */
  readonly goodputTokensPerSecond: number;
  /** Jain index over workspaces of long work got, relative to the max-min fair share. */
  readonly fairness: number;
  readonly wastedTokens: number;
  /** Part of attempts that ran in another availability zone than their entry. */
  readonly crossZoneShare: number;
  /** Requests that needed more than one attempt. */
  readonly resumed: number;
}
