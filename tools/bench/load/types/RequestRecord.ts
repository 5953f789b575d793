/** Outcome of one request. */
export interface RequestRecord {
  readonly workspace: string;
  readonly isLong: boolean;
  readonly arrivedMs: number;
  readonly endedMs: number;
  /** `cut`: still running at the end of the phase; `late`: no first token by the deadline. */
  readonly outcome: 'finished' | 'refused' | 'late' | 'failed' | 'cut';
  /** Times as the client measures them, including the network. */
  readonly firstTokenMs: number;
  readonly completionMs: number;
  readonly tokens: number;
  /** Tokens generated for a request whose answer was not delivered completely. */
  readonly wastedTokens: number;
  readonly attempts: number;
  readonly crossZoneAttempts: number;
}
