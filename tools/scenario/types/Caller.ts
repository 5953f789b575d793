/** How the latest connection of a caller, or an operator's command, ended. */
export interface CallerEnd {
  /**
   * `finished`: the answer is complete; `failed`: an error was returned; `cut`: the connection
   * broke off without an error.
   */
  readonly kind: 'finished' | 'failed' | 'cut';
  /** HTTP status, or exit code of a command. */
  readonly status: number;
  readonly code: string;
  readonly runState: string;
  readonly retryAfter: string;
  /** Answer of a call, or output of a command. */
  readonly text: string;
}

/** A caller's request, which it may repeat. */
export interface CallerRequest {
  readonly name: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Tokens of one event as a caller received them. */
export interface CallerBatch {
  readonly generationId: string;
  readonly cursor: string;
  readonly tokenIds: readonly number[];
  readonly text: string;
  readonly finishReason: string;
}

/** What a caller or an operator's command has received so far. */
export interface CallerState {
  readonly batches: readonly CallerBatch[];
  readonly tokenIds: readonly number[];
  readonly startedMs: number;
  readonly endedMs: number;
  /** Null while the request runs. */
  readonly end: CallerEnd | null;
}

/** One connection of a caller. */
export interface CallerConnection {
  readonly abort: AbortController;
  recordBatch(batch: CallerBatch): void;
  recordEnd(end: CallerEnd): void;
}

/** A caller of a generation or a plain service, or an operator's command. */
export interface Caller {
  readonly request: CallerRequest;
  readState(): CallerState;
  /** Returns the current connection; aborting it simulates a caller that disconnects. */
  readConnection(): CallerConnection;
  /** Aborts the connection and opens a new one; late data of the old connection is dropped. */
  startConnection(): CallerConnection;
}
