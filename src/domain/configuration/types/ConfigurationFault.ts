/** Something wrong between the parts of a configuration. */
export interface ConfigurationFault {
  /** Key as operators write it in TOML, for example `workspaces`, `antigua`, `places`. */
  readonly path: readonly string[];
  readonly reason: string;
}
