/** The row that records which process may send orders to the engines of a region. */
export interface LeaseRow {
  /** Unique to one process of one VM; empty after the lease was released. */
  readonly holder: string;
  readonly vm: string;
  /** How long the lease lasts after each renewal, in milliseconds. */
  readonly durationMs: number;
  /** Increases with each renewal and takeover; used as the fencing token of orders. */
  readonly revision: number;
}
