/** Narrows where one service's work of one workspace may run; it can only take places away. */
export interface PlacementRule {
  readonly name: string;
  /** Workspaces it covers; empty means all. */
  readonly workspaces: readonly string[];
  /** Services it covers; empty means all. */
  readonly services: readonly string[];
  /** The only places in which the covered work may run. */
  readonly places: readonly string[];
}
