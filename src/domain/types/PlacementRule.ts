/** Restricts the places in which the covered work may run; a rule never adds a place. */
export interface PlacementRule {
  readonly name: string;
  /** Workspaces that the rule covers; empty means all. */
  readonly workspaces: readonly string[];
  /** Services that the rule covers; empty means all. */
  readonly services: readonly string[];
  /** The only places in which the covered work may run. */
  readonly places: readonly string[];
}
