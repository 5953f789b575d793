/** What became of one request. */
export interface RequestRecord {
  readonly workspace: string;
  readonly isLong: boolean;
  readonly arrivedMs: number;
  readonly endedMs: number;
  /** `cut`: it still ran when the phase ended; `late`: no first token by the deadline. */
  readonly outcome: 'finished' | 'refused' | 'late' | 'failed' | 'cut';
  /** As the client sees them, network included. */
  readonly firstTokenMs: number;
  readonly completionMs: number;
  readonly tokens: number;
  /** Tokens generated for attempts whose answer no caller got. */
  readonly wastedTokens: number;
  readonly attempts: number;
  readonly crossZoneAttempts: number;
}
