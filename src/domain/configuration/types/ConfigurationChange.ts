/** One difference between two configurations. */
export interface ConfigurationChange {
  /** Dotted key, for example `workspaces.antigua.weight`. */
  readonly key: string;
  /** JSON of the value before; empty if the key was not there. */
  readonly before: string;
  /** JSON of the value after; empty if the key is gone. */
  readonly after: string;
}
