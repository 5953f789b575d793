/** How the last connection of a caller, a call or a command ended. */
export interface CallerEnd {
  /** `finished`: the answer is complete; `failed`: an error was said; `cut`: nothing was said. */
  readonly kind: 'finished' | 'failed' | 'cut';
  /** HTTP status, or exit code of a command. */
  readonly status: number;
  readonly code: string;
  readonly runState: string;
  readonly retryAfter: string;
  /** Answer of a call, or output of a command. */
  readonly text: string;
}

/** What a caller sends, and may send again. */
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

/** What a caller, a call or an operator's command has received so far. */
export interface CallerState {
  readonly batches: readonly CallerBatch[];
  readonly tokenIds: readonly number[];
  readonly startedMs: number;
  readonly endedMs: number;
  /** Null while it runs. */
  readonly end: CallerEnd | null;
}

/** One connection of a caller. */
export interface CallerConnection {
  readonly abort: AbortController;
  recordBatch(batch: CallerBatch): void;
  recordEnd(end: CallerEnd): void;
}

/** A caller, a call or an operator's command. */
export interface Caller {
  readonly request: CallerRequest;
  readState(): CallerState;
  /** Its connection of this moment; aborting it is the caller hanging up. */
  readConnection(): CallerConnection;
  /** Ends the connection and begins a new one; what the old one still brings is dropped. */
  startConnection(): CallerConnection;
}
