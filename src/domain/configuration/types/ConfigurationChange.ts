/** One difference between two configurations. */
export interface ConfigurationChange {
  /** Dotted key, for example `workspaces.antigua.weight`. */
  readonly key: string;
  /** JSON of the old value; empty if the key is new. */
  readonly before: string;
  /** JSON of the new value; empty if the key was removed. */
  readonly after: string;
}
