/** How long a prompt took to its first token. */
export interface FirstTokenSample {
  readonly promptCharacters: number;
  readonly firstTokenMs: number;
}
