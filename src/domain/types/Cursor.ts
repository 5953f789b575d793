/** Position in one generation; its signed form is the id of each SSE event sent to the caller. */
export interface Cursor {
  readonly generationId: string;
  readonly workspace: string;
  readonly service: string;
  readonly attempt: number;
  /** Name of the engine's stream; unique even if two entries start attempts of the same number. */
  readonly streamId: string;
  readonly backendServer: string;
  /** VM that relayed this event. */
  readonly vm: string;
  /** Tokens delivered up to and including this event. */
  readonly offset: number;
  /** Digest over the request and all tokens up to the offset (see `addTokensToChain`). */
  readonly chain: string;
}
