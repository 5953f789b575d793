/** The right to send one more attempt of a request; only the first call has an effect. */
export interface Retry {
  /** Returns the retry unused: no attempt was sent. */
  release(): void;
  /** Records that the attempt has arrived at a server, or never will. */
  finish(): void;
}
