/** Source of randomness, passed in so that tests are repeatable. */
export interface Randomness {
  /** A number from 0 inclusive to 1 exclusive. */
  readFraction(): number;
  /** `bytes` random bytes as lower-case hex; unguessable in production. */
  readHex(bytes: number): string;
}
