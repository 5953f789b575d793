/** The row that says who may order the engines of a region. */
export interface LeaseRow {
  /** Unique to one process of one VM; empty once the lease was given up. */
  readonly holder: string;
  readonly vm: string;
  /** How long the lease lasts after each renewal, in milliseconds. */
  readonly durationMs: number;
  /** Grows with each renewal and takeover; it is the fencing token of orders. */
  readonly revision: number;
}
