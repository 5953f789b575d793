/** Measured time from sending a prompt to its first token. */
export interface FirstTokenSample {
  readonly promptCharacters: number;
  readonly firstTokenMs: number;
}
