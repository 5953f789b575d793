/** A customer of the deployment, with its keys, services and allowed places. */
export interface Workspace {
  readonly name: string;
  /** SHA-256 of each accepted bearer key in lower-case hex; the keys are never stored. */
  readonly keyDigests: readonly string[];
  readonly services: readonly string[];
  /** Places in which work of the workspace may run. */
  readonly places: readonly string[];
  /** Share of a busy place relative to other workspaces; greater than 0. */
  readonly weight: number;
}
