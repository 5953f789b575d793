/** Place of a key's definition in the TOML source. */
export interface KeyOrigin {
  readonly path: readonly string[];
  readonly file: string;
  /** Counted from 1. */
  readonly line: number;
}
