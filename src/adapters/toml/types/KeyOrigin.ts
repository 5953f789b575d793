/** File and line in which a key is defined. */
export interface KeyOrigin {
  readonly path: readonly string[];
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
}
