/** One token as its text shows it. */
export interface ChainToken {
  /** Position in the generation, from 0. */
  readonly index: number;
  /** Random text of the attempt that made it, lower-case hex. */
  readonly nonce: string;
  readonly id: number;
}
