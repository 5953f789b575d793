/** An inconsistency between parts of a configuration. */
export interface ConfigurationFault {
  /** Key in the TOML of the operator, for example `workspaces`, `antigua`, `places`. */
  readonly path: readonly string[];
  readonly reason: string;
}
