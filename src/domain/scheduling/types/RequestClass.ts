/** Urgency of a stream. Compared by `priority`, then by `routePriority`; lower is more urgent. */
export interface RequestClass {
  /** The workspace's own priority where it has one, otherwise the route's. */
  readonly priority: number;
  readonly routePriority: number;
}
