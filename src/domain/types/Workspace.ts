/** A workspace: a customer with its keys, its services and the places it may use. */
export interface Workspace {
  readonly name: string;
  /** SHA-256 of each accepted bearer key, lower-case hex; keys themselves are never stored. */
  readonly keyDigests: readonly string[];
  readonly services: readonly string[];
  /** Places in which any of its work may run. */
  readonly places: readonly string[];
  /** Share of a busy place relative to other workspaces; above 0. */
  readonly weight: number;
}
