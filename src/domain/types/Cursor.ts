/** Position in one generation, signed and given to the caller as the id of each SSE event. */
export interface Cursor {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  readonly attempt: number;
  /** Name of the engine's stream; unique to an attempt, also when two entries start the same number. */
  readonly streamId: string;
  readonly backendServer: string;
  /** VM that relayed this event. */
  readonly vm: string;
  /** Tokens delivered up to and with this event. */
  readonly offset: number;
  /** Digest over the request and all tokens up to the offset (see `addTokensToChain`). */
  readonly chain: string;
}
